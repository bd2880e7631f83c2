import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import { refuse } from '../../core/refusal/index.js';
import { readBody as readWhole } from '../../shell/callers/index.js';
import type { Refusal } from '../../wire/index.js';
import type { EntryContext } from '../entrycontext.js';
import type { Caller } from './caller.js';

const RETRY_AFTER_MS = 1000;

/** Refusals of requests whose body is not read to its end. */
const DROPPED = {
  memory: refuse('entry-full', 'This entry has no memory left for the body.', {
    retryAfterMs: RETRY_AFTER_MS,
  }),
  'idle-body': refuse('request-timeout', 'Nothing of the body arrived in time.'),
} as const;

/** Reads a request body; refuses it if it is larger than the limit, or is not read to its end. */
export function readBody(
  { guard, settings }: EntryContext,
  { request, response }: Caller,
): Promise<Result<Buffer, Refusal>> {
  const hold = guard.holdOf(response);
  const { bodyBytes } = settings;
  return new Promise((resolve) => {
    const refused = (refusal: Refusal) => resolve(result.Err(refusal));
    readWhole(request, hold, bodyBytes, {
      read: (body) => resolve(result.Ok(body)),
      tooLarge: () =>
        refused(refuse('body-too-large', `The body is larger than ${bodyBytes} bytes.`)),
      dropped: (reason) => refused(DROPPED[reason]),
      failed: () => refused(refuse('cancelled', 'The caller has gone.')),
    });
  });
}
