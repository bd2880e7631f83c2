import test from 'ava';
import { execFile } from 'node:child_process';
import { join } from 'node:path';
import { promisify } from 'node:util';

const SCRIPT = join(import.meta.dirname, '..', 'bench', 'soak', 'main.js');

test('a soak with a fault that it does not know ends at once and names those that it knows', async (t) => {
  const args = [SCRIPT, '--faults', 'freeze,delayServer', '--for', '1'];
  const error = await t.throwsAsync(promisify(execFile)(process.execPath, args));
  const { code, stderr } = error as unknown as { code: number; stderr: string };
  t.is(code, 2);
  t.regex(stderr, /^Unknown faults: delayServer\. Known are: .*\bcutServer\b/);
});
