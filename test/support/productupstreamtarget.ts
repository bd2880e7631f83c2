import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { benchDocument } from '../../bench/path/benchdocument.js';
import { FaultyUpstream } from './faultyupstream.js';
import { freePort } from './freeport.js';
import { ObservedProcess } from './observedprocess.js';
import { sendRaw } from './sendraw.js';

/** An entry and two sidecars of the product as processes, one for an engine and one for a plain service. */
interface ProductUpstreamTarget {
  readonly processes: Readonly<Record<'entry' | 'engine' | 'plain', ObservedProcess>>;
  readonly callersPort: number;
  readonly upstreams: Readonly<Record<'engine' | 'plain', FaultyUpstream>>;
  /** The text of one request of each kind. */
  readonly requests: typeof requests;
  /** Sends one request of a kind and returns its answer. */
  ask(kind: keyof typeof requests): ReturnType<typeof sendRaw>;
  close(): Promise<void>;
}

const HEAP_MB = 160;
const SLOTS = 400;
const PLACE = { region: 'cantabrico', availabilityZone: 'oviedo-a', logLevel: 'error' };
const BIN = join(import.meta.dirname, '..', '..', '..', 'bin', 'tarragonstile.js');
const DEADLINE_MS = 2000;
const HEAD = [
  'Host: h',
  `Authorization: Bearer ${benchDocument.key}`,
  'Connection: close',
  `Tarragonstile-Deadline-Ms: ${DEADLINE_MS}`,
].join('\r\n');
/** Short, so that requests that wait on answers without end are over soon. */
const LIMITS = { stallMs: 3000, callerStallMs: 3000, lateAnswerMs: 1000 };

function completion(stream: boolean): string {
  const body = JSON.stringify({ model: 'notice-1', stream, messages: [{ content: 'a' }] });
  return `POST /v1/chat/completions HTTP/1.1\r\n${HEAD}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

/** One request of each kind. */
const requests = {
  stream: completion(true),
  whole: completion(false),
  lookup: `GET /services/lookups/1 HTTP/1.1\r\n${HEAD}\r\n\r\n`,
} as const;

function plainDocument(sidecarAddress: string): object {
  const document = benchDocument.documentFor([sidecarAddress], SLOTS);
  const { groups } = document as { groups: readonly object[] };
  const upstreams = [{ id: 'plain-0', sidecarAddress }];
  const routes = [{ method: 'GET', pathPrefix: '/', kind: 'draft' }];
  const group = { type: 'plain', name: 'lookups', checksFencing: false, accelerators: 0 };
  const memory = { memoryBytes: 0, upstreams, routes };
  return {
    ...document,
    service: 'lookups',
    models: [],
    groups: [{ ...groups[0], ...group, ...memory }],
  };
}

function start(role: string, file: string, settings: object): ObservedProcess {
  writeFileSync(file, JSON.stringify({ ...PLACE, ...settings }));
  const heap = `--max-old-space-size=${HEAP_MB}`;
  return new ObservedProcess([heap, BIN, role, '--settings', file]);
}

/** Starts the processes and waits until requests of every kind are served. */
export async function startProductUpstreamTarget(): Promise<ProductUpstreamTarget> {
  const directory = mkdtempSync(join(tmpdir(), 'tarragonstile-crowd-'));
  const upstreams = { engine: new FaultyUpstream(), plain: new FaultyUpstream() };
  const enginePort = await freePort();
  const plainPort = await freePort();
  const callersPort = await freePort();
  const documents = ['redactor', 'lookups'].map((name) => join(directory, `${name}.jsonc`));
  const engines = benchDocument.documentFor([`127.0.0.1:${enginePort}`], SLOTS);
  writeFileSync(documents[0]!, JSON.stringify(engines));
  writeFileSync(documents[1]!, JSON.stringify(plainDocument(`127.0.0.1:${plainPort}`)));
  const processes = {
    engine: start('sidecar', join(directory, 'engine.jsonc'), {
      hostId: 'redactor-0',
      upstream: 'u-0',
      service: 'redactor',
      listen: `127.0.0.1:${enginePort}`,
      upstreamUrl: await upstreams.engine.listen(),
      upstreamType: 'engine',
      slots: SLOTS,
    }),
    plain: start('sidecar', join(directory, 'plain.jsonc'), {
      hostId: 'lookups-0',
      upstream: 'plain-0',
      service: 'lookups',
      listen: `127.0.0.1:${plainPort}`,
      upstreamUrl: await upstreams.plain.listen(),
      upstreamType: 'plain',
      slots: SLOTS,
    }),
    entry: start('entry', join(directory, 'entry.jsonc'), {
      hostId: 'entry-1',
      listen: { host: '127.0.0.1', port: callersPort },
      documents,
      limits: LIMITS,
    }),
  };
  const all = Object.values(processes);
  const ask = (kind: keyof typeof requests) => sendRaw(callersPort, requests[kind]);
  const isReady = async () =>
    (await ask('stream')).status === 200 && (await ask('lookup')).status === 200;
  while (all.every(({ isAlive }) => isAlive) && !(await isReady()));
  return {
    processes,
    callersPort,
    upstreams,
    requests,
    ask,
    close: async () => {
      for (const process of all) process.kill();
      await Promise.all(all.map((process) => process.untilQuiet()));
      for (const upstream of Object.values(upstreams)) upstream.close();
      rmSync(directory, { recursive: true });
    },
  };
}
