import test from 'ava';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { join } from 'node:path';

const MODULE = join(import.meta.dirname, '..', 'src', 'command', 'rununtilstopped.js');
/** Gets the signal while the daemon starts, as it may when the daemon already listens. */
const PROGRAM = `
const { runUntilStopped } = await import(process.argv[1]);
await runUntilStopped(async () => {
  // Stands for a listener, which keeps the process running.
  setInterval(() => {}, 1000);
  process.kill(process.pid, 'SIGTERM');
  await new Promise(setImmediate);
  return { port: 1, stop: async () => process.stdout.write('drained'), expire() {} };
});`;

// The handlers were set after the start: connections that had been accepted by then were reset.
test('a SIGTERM during the start of a daemon drains it once it has started', async (t) => {
  const child = spawn(process.execPath, ['--input-type=module', '-e', PROGRAM, MODULE]);
  let text = '';
  child.stdout.on('data', (chunk: Buffer) => {
    text += chunk.toString('utf8');
  });
  const [code, signal] = (await once(child, 'close')) as [number | null, string | null];
  t.is(signal, null);
  t.is(code, 0);
  t.true(text.endsWith('drained'));
});
