import { join } from 'node:path';

/** Command that runs the built entry of platform/ under this Node.js. */
export const entryCommand: readonly string[] = [
  process.execPath,
  join(import.meta.dirname, '..', '..', 'platform', 'main.js'),
];
