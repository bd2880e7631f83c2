import { request } from 'undici';
import { toFailure, type Failure, type Ms } from '../../base/index.js';
import { readText } from '../body/index.js';
import type { Explanation } from './explanation.js';

const TIMEOUT_MS: Ms = 2000;
const OK = 200;

/** Result of querying one entry. */
type EntryExplanation =
  | { readonly type: 'explained'; readonly url: string; readonly explanations: Explanation[] }
  | { readonly type: 'unreachable'; readonly url: string; readonly failure: Failure };

async function ask(url: string, model: string): Promise<EntryExplanation> {
  try {
    const path = `${url}/explainz?model=${encodeURIComponent(model)}`;
    const answer = await request(path, { signal: AbortSignal.timeout(TIMEOUT_MS) });
    const body = await readText(answer.body);
    if (answer.statusCode === OK) {
      return { type: 'explained', url, explanations: JSON.parse(body) as Explanation[] };
    }
    const detail = `answered ${answer.statusCode}`;
    return { type: 'unreachable', url, failure: { type: 'entry-unreachable', detail } };
  } catch (thrown) {
    return { type: 'unreachable', url, failure: toFailure('entry-unreachable', thrown) };
  }
}

/** Queries each entry for the upstreams that hold a model and the reasons. */
export function explainModel(
  urls: readonly string[],
  model: string,
): Promise<readonly EntryExplanation[]> {
  return Promise.all(urls.map((url) => ask(url, model)));
}
