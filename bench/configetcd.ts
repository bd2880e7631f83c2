import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, readFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { systemClock, type Revision } from '../src/base/index.js';
import { normalise } from '../src/core/text/index.js';
import type { Metrics, WatchEvent } from '../src/port/index.js';
import { EtcdStore } from '../src/shell/store/index.js';
import type { Bench } from './bench.js';
import type { Attempt } from './configrace/attempt.js';
import { findViolations } from './configrace/findviolations.js';
import { operate } from './configrace/operator.js';
import { truth } from './configrace/truth.js';

const EXAMPLE = join(import.meta.dirname, '../../examples/reenvio-norte/padron.jsonc');
const CHANGES = 400;
const OPERATORS = 2;
/** Shorter than a freeze, so that answers are lost while the writes still take effect later. */
const TIMEOUT_MS = 150;
const FREEZE_MS = 300;
const THAW_MS = 60;
const AFTERMATH_MS = 2000;
const UNLIMITED = 1_000_000;

function freePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as { port: number };
      server.close(() => resolve(port));
    });
  });
}

async function startEtcd(binary: string): Promise<{ etcd: ChildProcess; url: string }> {
  const url = `http://127.0.0.1:${await freePort()}`;
  const peer = `http://127.0.0.1:${await freePort()}`;
  const data = mkdtempSync(join(tmpdir(), 'tarragonstile-etcd-'));
  const listen = ['--listen-client-urls', url, '--advertise-client-urls', url];
  const peers = ['--listen-peer-urls', peer, '--initial-advertise-peer-urls', peer];
  const cluster = ['--initial-cluster', `default=${peer}`, '--data-dir', data];
  const etcd = spawn(binary, [...listen, ...peers, ...cluster], { stdio: 'ignore' });
  return { etcd, url };
}

function driver(url: string, timeoutMs: number, metrics?: Metrics): EtcdStore {
  const rates = { readsPerSecond: UNLIMITED, writesPerSecond: UNLIMITED };
  return new EtcdStore({ urls: [url], ...rates, timeoutMs, clock: systemClock, seed: 1, metrics });
}

/** Counts the driver's calls by kind and outcome. */
class CallCounter implements Metrics {
  readonly calls: Record<string, number> = {};

  count(_name: string, value = 1, { kind = '', outcome = '' } = {}): void {
    const call = `${kind} ${outcome}`;
    this.calls[call] = (this.calls[call] ?? 0) + value;
  }

  gauge(): void {}

  histogram(): void {}
}

/** Stops and continues the store's process until the returned function is called. */
function freezeOften(etcd: ChildProcess): () => Promise<number> {
  let going = true;
  let freezes = 0;
  const freezing = (async () => {
    while (going) {
      etcd.kill('SIGSTOP');
      freezes += 1;
      await wait(FREEZE_MS);
      etcd.kill('SIGCONT');
      await wait(THAW_MS);
    }
  })();
  return async () => {
    going = false;
    await freezing;
    return freezes;
  };
}

/** Every change in the store's own history, by a watch from its beginning. */
async function history(store: EtcdStore, until: number): Promise<readonly WatchEvent[]> {
  const events: WatchEvent[] = [];
  const stop = store.watch('/tarragonstile/', 0 as Revision, (event) => events.push(event));
  const isWhole = () =>
    events.some((event) => event.type === 'put' && event.item.revision >= until) || until <= 1;
  while (!isWhole()) await wait(10);
  stop();
  return events;
}

/**
 * Two operators race over a real etcd whose process is frozen again and again, so that writes lose their
 * answers and take effect later. Argument: path of the etcd binary.
 */
export const configEtcd: Bench = async ([binary = 'etcd']) => {
  const { etcd, url } = await startEtcd(binary);
  const patient = driver(url, AFTERMATH_MS);
  while ((await patient.list('/')).err) await wait(100);
  const thaw = freezeOften(etcd);
  const counter = new CallCounter();
  const store = driver(url, TIMEOUT_MS, counter);
  const attempts: Attempt[] = [];
  const firstText = normalise(readFileSync(EXAMPLE, 'utf8'));
  const options = { seed: 1, operators: OPERATORS, changes: CHANGES, faults: {} };
  const operators = Array.from({ length: OPERATORS }, (_, index) => {
    const desk = { name: `operator-${index}`, store, clock: systemClock, attempts, firstText };
    return operate(desk, options, index);
  });
  await Promise.all(operators);
  const freezes = await thaw();
  await wait(AFTERMATH_MS);
  const { revision } = (await patient.list('/tarragonstile/')).unwrap();
  const events = await history(patient, revision);
  const eventsAfter = () =>
    events.flatMap((event) =>
      event.type === 'put'
        ? [{ key: event.item.key, revision: event.item.revision, item: event.item }]
        : [],
    );
  const taken = truth({ eventsAfter });
  etcd.kill('SIGTERM');
  await Promise.all([store.close(), patient.close()]);
  const told: Record<string, number> = {};
  for (const attempt of attempts) told[attempt.told] = (told[attempt.told] ?? 0) + 1;
  const violations = findViolations(attempts, taken);
  return { freezes, calls: counter.calls, told, takenByStore: taken.length, violations };
};
