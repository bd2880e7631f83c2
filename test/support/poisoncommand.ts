import { execFile } from 'node:child_process';
import { join } from 'node:path';

const BIN = join(import.meta.dirname, '..', '..', '..', 'bin', 'tarragonstile.js');

/** Runs `tarragonstile poison` and returns what it printed. */
export function poisonCommand(...args: string[]): Promise<string> {
  return new Promise((resolve) => {
    execFile(process.execPath, [BIN, 'poison', ...args], (_error, out) => resolve(out));
  });
}
