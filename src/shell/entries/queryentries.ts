import { request } from 'undici';
import { toFailure, type Ms } from '../../base/index.js';
import { readText } from '../body/index.js';
import type { EntryReport } from './entryreport.js';
import type { EntryStatus } from './entrystatus.js';

const TIMEOUT_MS: Ms = 2000;
const OK = 200;

async function ask(url: string): Promise<EntryReport> {
  try {
    const answer = await request(`${url}/statusz`, { signal: AbortSignal.timeout(TIMEOUT_MS) });
    const body = await readText(answer.body);
    if (answer.statusCode === OK) {
      return { type: 'answered', url, status: JSON.parse(body) as EntryStatus };
    }
    return { type: 'unreachable', url, detail: `answered ${answer.statusCode}` };
  } catch (thrown) {
    return { type: 'unreachable', url, detail: toFailure('entry-unreachable', thrown).detail };
  }
}

/** Queries all entries for their status, concurrently. */
export function queryEntries(urls: readonly string[]): Promise<readonly EntryReport[]> {
  return Promise.all(urls.map(ask));
}
