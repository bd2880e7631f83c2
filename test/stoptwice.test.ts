import test from 'ava';
import { execFile } from 'node:child_process';
import { join } from 'node:path';
import { promisify } from 'node:util';

const SCRIPT = join(import.meta.dirname, '..', 'bench', 'soak', 'stoptwice.js');

test('a second SIGTERM during a planned stop cuts nothing', async (t) => {
  // A process of its own: sockets that were reset would keep a test's process alive.
  const { stdout } = await promisify(execFile)(process.execPath, [SCRIPT]);
  t.is(stdout.trim(), '200');
});
