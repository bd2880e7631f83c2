import test from 'ava';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { freePort } from './support/freeport.js';

const MAIN = join(import.meta.dirname, '..', 'platform', 'main.js');
const SETTINGS = {
  host: 'entry-1',
  ip: '127.0.0.1',
  availabilityZone: 'z1',
  cpuShare: 1,
  cores: 1,
  callersAddress: '127.0.0.1:0',
  readinessAddress: '127.0.0.1:0',
  metricsPort: 0,
  // Nothing listens there: an entry starts and stops without the store.
  storeAddress: '127.0.0.1:9',
  leastLeaseMs: 1000,
  heartbeatMs: 1000,
  graceS: 1,
  retryRatio: 0.2,
  retrySlack: 80,
  retryWindowS: 10,
  orderTurnMs: 300,
  loadWindowS: 5,
  loadOvershoot: 1.1,
  poisonKeepS: 3600,
  loadAware: 'auto',
};

interface Ended {
  readonly code: number | null;
  readonly signal: string | null;
  readonly messages: readonly string[];
}

/** Runs an entry in which the module with this source is loaded in place of the module whose path ends with `path`. */
async function run(path: string, source: string): Promise<Ended> {
  const directory = mkdtempSync(join(tmpdir(), 'tarragonstile-'));
  const settings = join(directory, 'entry.jsonc');
  const peerPort = await freePort();
  writeFileSync(settings, JSON.stringify({ ...SETTINGS, peerPorts: [peerPort, peerPort] }));
  const loader = join(directory, 'loader.mjs');
  const original = new URL(`file://${join(import.meta.dirname, '..')}${path}`).href;
  writeFileSync(
    loader,
    `export async function load(url, context, next) {
      if (url !== ${JSON.stringify(original)}) return next(url, context);
      return { format: 'module', shortCircuit: true, source: ${JSON.stringify(source)} };
    }`,
  );
  const register = `data:text/javascript,import{register}from'node:module';register(${JSON.stringify(
    new URL(`file://${loader}`).href,
  )})`;
  const child = spawn(process.execPath, ['--import', register, MAIN], {
    env: { ...process.env, TARRAGONSTILE_NODE_FILE: settings },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  let text = '';
  child.stdout.on('data', (chunk: Buffer) => {
    text += chunk.toString('utf8');
  });
  const [code, signal] = (await once(child, 'close')) as [number | null, string | null];
  const lines = text.split('\n').filter((line) => line !== '');
  const messages = lines.map((line) => (JSON.parse(line) as { message: string }).message);
  return { code, signal, messages };
}

// A SIGTERM in the first second of a start ended the process by the signal, which looks like a crash.
test('a SIGTERM while modules are loaded ends the start with exit code 0', async (t) => {
  const source =
    "process.kill(process.pid, 'SIGTERM');" +
    // Nothing but the signal ends the load.
    'await new Promise(() => { setInterval(() => {}, 1000); });' +
    'export const loadSettings = () => {};';
  const { code, signal } = await run('/src/shell/settings/index.js', source);
  t.is(signal, null);
  t.is(code, 0);
});

// Callers' connections are accepted some turns before the process has started whole. They were reset.
test('a SIGTERM between the first accept and the end of the start runs a planned stop', async (t) => {
  const source =
    'export async function serveMetrics() {' +
    "process.kill(process.pid, 'SIGTERM');" +
    'await new Promise(setImmediate);await new Promise(setImmediate);' +
    'return () => {}; }';
  const { code, signal, messages } = await run('/platform/servemetrics.js', source);
  t.is(signal, null);
  t.is(code, 0);
  t.true(messages.includes('stopping'));
  t.true(messages.includes('stopped'));
});

test('a SIGTERM and a SIGHUP in one turn run one planned stop', async (t) => {
  const source =
    'export async function serveMetrics() {' +
    "setImmediate(() => { for (const signal of ['SIGTERM', 'SIGHUP', 'SIGTERM', 'SIGHUP']) process.kill(process.pid, signal); });" +
    'return () => {}; }';
  const { code, signal, messages } = await run('/platform/servemetrics.js', source);
  t.is(signal, null);
  t.is(code, 0);
  t.is(messages.filter((message) => message === 'stopping').length, 1);
  t.true(messages.includes('stopped'));
});
