import type { Row } from './row.js';

/** What a row takes without its answer: measured by `npm run bench -- once-cost`, rounded up. */
const ROW_BYTES = 768;

/** Memory that a row and its recorded answer are reckoned at. */
export function rowBytes({ answer }: Row): number {
  if (!answer) return ROW_BYTES;
  let headerBytes = 0;
  for (const { name, value } of answer.headers) headerBytes += name.length + value.length;
  return ROW_BYTES + headerBytes + answer.body.length;
}
