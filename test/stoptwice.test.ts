import test from 'ava';
import { execFile } from 'node:child_process';
import { join } from 'node:path';
import { promisify } from 'node:util';

const SCRIPT = join(import.meta.dirname, '..', 'bench', 'soak', 'stoptwice.js');

test('a second SIGTERM during a planned stop does not cut a running request', async (t) => {
  // Runs in a separate process, because reset sockets would keep the test process alive.
  const { stdout } = await promisify(execFile)(process.execPath, [SCRIPT]);
  t.is(stdout.trim(), '200');
});
