import { join } from 'node:path';

/** The entry of the prepared platform as it was built, run by this Node.js. */
export const entryCommand: readonly string[] = [
  process.execPath,
  join(import.meta.dirname, '..', '..', 'platform', 'main.js'),
];
