import test from 'ava';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const MAIN = join(import.meta.dirname, '..', 'platform', 'main.js');

test('a SIGHUP during module loading does not end the process', async (t) => {
  const directory = mkdtempSync(join(tmpdir(), 'tarragonstile-'));
  // Replaces the log module by one that raises the signal while it is loaded, before any settings are read.
  const loader = join(directory, 'loader.mjs');
  writeFileSync(
    loader,
    `export async function load(url, context, next) {
      if (!url.endsWith('/shell/log/index.js')) return next(url, context);
      const source = 'export const createBoundedLog = () => {};' +
        "process.kill(process.pid, 'SIGHUP');" +
        'await new Promise((resolve) => { setTimeout(resolve, 50); });' +
        "process.stdout.write('alive');process.exit(0);";
      return { format: 'module', shortCircuit: true, source };
    }`,
  );
  const register = `data:text/javascript,import{register}from'node:module';register(${JSON.stringify(
    new URL(`file://${loader}`).href,
  )})`;
  const child = spawn(process.execPath, ['--import', register, MAIN]);
  let text = '';
  child.stdout.on('data', (chunk: Buffer) => {
    text += chunk.toString('utf8');
  });
  const [code, signal] = (await once(child, 'close')) as [number | null, string | null];
  t.is(signal, null);
  t.is(code, 0);
  t.is(text, 'alive');
});
