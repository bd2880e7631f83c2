import type { Row } from './row.js';

/** What a row takes without its answer: measured by `npm run bench -- once-cost`, rounded up. */
const ROW_BYTES = 640;

/** What a recorded answer takes beside its bytes, measured in the same way. */
const ANSWER_BYTES = 768;

/** Memory that a row and its recorded answer are reckoned at. */
export function rowBytes({ answer }: Row): number {
  if (!answer) return ROW_BYTES;
  let sizeBytes = ROW_BYTES + ANSWER_BYTES + answer.body.length;
  for (const { name, value } of answer.headers) sizeBytes += name.length + value.length;
  return sizeBytes;
}
