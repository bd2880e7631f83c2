import { createHash } from 'node:crypto';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request, type Dispatcher } from 'undici';
import { startEntry, startSidecar } from '../../src/index.js';

const KEY = 'carrier-key';
const MEGABYTE = 1_000_000;
const PLACE = { hostId: 'h', region: 'cantabrico', availabilityZone: 'oviedo-a' };

/** An upstream of the test rig. */
interface RigUpstream {
  readonly url: string;
  readonly type?: 'engine' | 'plain';
}

/** Options of the test rig. */
interface RigOptions {
  readonly upstreams: readonly RigUpstream[];
  readonly drainTimeoutMs?: number;
  readonly limits?: Parameters<typeof startEntry>[0]['limits'];
  readonly slots?: number;
}

function startRigSidecar({ url, type = 'engine' }: RigUpstream, index: number, rig: RigOptions) {
  return startSidecar({
    ...PLACE,
    hostId: `host-${index}`,
    upstream: `upstream-${index}`,
    service: 'redactor',
    listen: '127.0.0.1:0',
    upstreamUrl: url,
    upstreamType: type,
    logLevel: 'error',
    drainTimeoutMs: rig.drainTimeoutMs ?? 5000,
    slots: rig.slots ?? 16,
    statsd: null,
  });
}

function documentFor(rig: RigOptions, ports: readonly number[]): object {
  const groups = rig.upstreams.map(({ type = 'engine' }, index) => ({
    name: `group-${index}`,
    type,
    availabilityZone: 'oviedo-a',
    checksFencing: false,
    accelerators: 1,
    memoryBytes: 100 * MEGABYTE,
    kvCacheReserveBytes: MEGABYTE,
    slots: rig.slots ?? 16,
    role: 'mixed',
    routes:
      type === 'plain'
        ? [
            { method: 'GET', pathPrefix: '/', kind: 'lookup' },
            { method: 'POST', pathPrefix: '/transfers', kind: 'confirmation' },
          ]
        : undefined,
    upstreams: [{ id: `upstream-${index}`, sidecarAddress: `127.0.0.1:${ports[index]}` }],
  }));
  const usual = { priority: 'normal', deadlineMs: 5000, weight: 1, repeatable: true };
  const model = { version: '1', sizeBytes: MEGABYTE, defaultKind: 'draft' };
  const keyHashes = [createHash('sha256').update(KEY).digest('hex')];
  return {
    schemaVersion: 1,
    service: 'redactor',
    owner: 'forwarding',
    region: 'cantabrico',
    customers: [{ id: 'carriers', keyHashes, share: 1 }],
    kinds: [
      { ...usual, name: 'draft' },
      { ...usual, name: 'lookup' },
      { ...usual, name: 'confirmation', repeatable: false },
    ],
    models: [{ ...model, id: 'notice-1' }],
    adapters: [{ id: 'notice-1-galicia', model: 'notice-1', sizeBytes: MEGABYTE }],
    weightStore: { loadsPerSecond: 100, parallelLoads: 4 },
    placement: { movePenalty: 0, spareUpstreams: 0 },
    limits: {
      bodyBytes: 10_000,
      longJobsPerUpstream: 2,
      queuePerUpstream: 100,
      ticketValidMs: 60_000,
    },
    groups,
  };
}

/** Running sidecars and an entry in this process. */
interface Rig {
  readonly port: number;
  /** Sends a request to the entry; a GET unless there is a body. */
  ask(
    path: string,
    body: string | undefined,
    headers?: Readonly<Record<string, string>>,
    method?: Dispatcher.HttpMethod,
  ): Promise<Dispatcher.ResponseData>;
  /** Sends a streamed chat request. */
  chat(content: string, more?: object): Promise<Dispatcher.ResponseData>;
  stopEntry(): Promise<void>;
  stopSidecar(index: number): Promise<void>;
  close(): Promise<void>;
}

/** Starts a sidecar for each upstream and an entry, all in this process. */
export async function startRig(options: RigOptions): Promise<Rig> {
  const sidecars = await Promise.all(
    options.upstreams.map((upstream, index) => startRigSidecar(upstream, index, options)),
  );
  const ports = sidecars.map(({ port }) => port);
  const file = join(mkdtempSync(join(tmpdir(), 'tarragonstile-')), 'redactor.jsonc');
  writeFileSync(file, JSON.stringify(documentFor(options, ports)));
  const entry = await startEntry({
    ...PLACE,
    listen: { host: '127.0.0.1', port: 0 },
    documents: [file],
    logLevel: 'error',
    drainTimeoutMs: options.drainTimeoutMs ?? 5000,
    bodyBytes: 10_000,
    limits: options.limits,
  });
  const url = `http://127.0.0.1:${entry.port}`;
  const ask: Rig['ask'] = (
    path,
    body,
    headers = {},
    method = body === undefined ? 'GET' : 'POST',
  ) =>
    request(`${url}${path}`, {
      method,
      body,
      headers: { authorization: `Bearer ${KEY}`, ...headers },
    });
  return {
    port: entry.port,
    ask,
    chat: (content, more = {}) =>
      ask(
        '/v1/chat/completions',
        JSON.stringify({ model: 'notice-1', stream: true, messages: [{ content }], ...more }),
      ),
    stopEntry: () => entry.stop(),
    stopSidecar: (index) => sidecars[index]!.stop(),
    async close() {
      await entry.stop();
      await Promise.all(sidecars.map((sidecar) => sidecar.stop()));
    },
  };
}
