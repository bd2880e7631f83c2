import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import { refuse } from '../../core/refusal/index.js';
import type { Refusal } from '../../wire/index.js';
import type { CompletionRequest } from './completionrequest.js';

function malformed(detail: string): Result<CompletionRequest, Refusal> {
  return result.Err(refuse('malformed', detail));
}

/** Parses the fields of a completion request that the entry uses. */
export function parseCompletion(body: Buffer): Result<CompletionRequest, Refusal> {
  let parsed: unknown;
  try {
    parsed = JSON.parse(body.toString());
  } catch (thrown) {
    return malformed(`The body is not JSON: ${(thrown as Error).message}`);
  }
  if (typeof parsed !== 'object' || parsed === null || Array.isArray(parsed)) {
    return malformed('The body has to be a JSON object.');
  }
  const { model, stream } = parsed as { model?: unknown; stream?: unknown };
  if (typeof model !== 'string') return malformed('"model" has to be a string.');
  if (stream !== undefined && stream !== null && typeof stream !== 'boolean') {
    return malformed('"stream" has to be true or false.');
  }
  return result.Ok(parsed as CompletionRequest);
}
