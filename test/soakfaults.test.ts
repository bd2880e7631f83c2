import test from 'ava';
import { execFile } from 'node:child_process';
import { join } from 'node:path';
import { promisify } from 'node:util';

const SCRIPT = join(import.meta.dirname, '..', 'bench', 'soak', 'main.js');

test('a soak with an unknown fault name exits at once and lists the known names', async (t) => {
  const args = [SCRIPT, '--faults', 'freeze,delayServer', '--for', '1'];
  const error = await t.throwsAsync(promisify(execFile)(process.execPath, args));
  const { code, stderr } = error as unknown as { code: number; stderr: string };
  t.is(code, 2);
  t.regex(stderr, /^Unknown faults: delayServer\. Known are: .*\bcutServer\b/);
});
