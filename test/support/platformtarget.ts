import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { entryCommand } from '../../bench/soak/entrycommand.js';
import { configurationOf, PlatformServer, PlatformStore } from '../../standin/platform/index.js';
import type { CrowdTarget } from './crowdtarget.js';
import { freePort } from './freeport.js';
import { ObservedProcess } from './observedprocess.js';
import { sendRaw } from './sendraw.js';

const HOST = 'caller.example';
const MIB = 1_048_576;
const BODY_BYTES = MIB;
const MAX_DESCRIPTORS = 600;

/** The host of the entry under test, and what it serves. */
interface PlatformTargetOptions {
  readonly memoryMb: number;
  /** Heap limit of the entry. */
  readonly heapMb: number;
  /** Number of servers of each service: `plain`, and `engine` with the model `m1`. */
  readonly servers: number;
  /** Slots of each server. */
  readonly slots?: number;
  readonly maxDescriptors?: number;
  /** Connections that each server accepts, which all entries share. */
  readonly maxConnections?: number;
}

/** Smaller than the hosts that entries run on. */
const SMALL: PlatformTargetOptions = { memoryMb: 240, heapMb: 96, servers: 1 };

/** An entry of platform/ in a process of its own, with its servers. */
interface PlatformTarget extends CrowdTarget {
  readonly servers: readonly PlatformServer[];
}

const REQUEST_HEAD = `POST /lookup/1 HTTP/1.1\r\nHost: ${HOST}\r\nTarragonstile-Request-Id: 1\r\n`;

function settingsOf(
  ports: CrowdTarget['ports'],
  storeAddress: string,
  { memoryMb, maxDescriptors }: { memoryMb: number; maxDescriptors: number },
): object {
  const at = (port: number | undefined) => `127.0.0.1:${port}`;
  return {
    host: 'entry-1',
    ip: '127.0.0.1',
    availabilityZone: 'z1',
    cpuShare: 0.5,
    cores: 1,
    memoryMb,
    maxDescriptors,
    callersAddress: at(ports.callers),
    readinessAddress: at(ports.readiness),
    peerPorts: [ports.peers, ports.peers],
    metricsPort: ports.metrics,
    storeAddress,
    leastLeaseMs: 1000,
    heartbeatMs: 1000,
    graceS: 4,
    retryRatio: 0.2,
    retrySlack: 80,
    retryWindowS: 10,
    orderTurnMs: 1000,
    loadWindowS: 5,
    loadOvershoot: 1.1,
    poisonKeepS: 3600,
  };
}

function configuration(maxConnections?: number): object {
  const stream = { kind: 'streaming', service: 'engine' };
  const routes = [
    { name: 'lookup', kind: 'idempotent', service: 'plain', maxAttempts: 2 },
    { name: 'charge', kind: 'non_idempotent', service: 'plain' },
    { name: 'draft', ...stream },
    { name: 'batch', ...stream, maxAttempts: 2, resumable: true },
  ];
  const limits = {
    max_header_bytes: 16_384,
    max_body_bytes: BODY_BYTES,
    header_timeout_ms: 10_000,
    idle_timeout_ms: 60_000,
  };
  return { ...configurationOf(1, HOST, routes, undefined, { maxConnections }), limits };
}

function createServers(count: number): readonly PlatformServer[] {
  const servers: PlatformServer[] = [];
  for (let at = 1; at <= count; at += 1) {
    const engine = new PlatformServer(`e${at}`, 'engine');
    engine.models.set('m1', new Set());
    servers.push(new PlatformServer(`s${at}`, 'plain'), engine);
  }
  return servers;
}

/** Starts the built entry of platform/ with stand-ins for its store and servers, and waits until it is ready. */
export async function startPlatformTarget({
  memoryMb,
  heapMb,
  servers: serverCount,
  slots,
  maxDescriptors = MAX_DESCRIPTORS,
  maxConnections,
}: PlatformTargetOptions = SMALL): Promise<PlatformTarget> {
  const store = new PlatformStore();
  const storeAddress = await store.listen();
  const servers = createServers(serverCount);
  for (const server of servers) {
    if (slots !== undefined) server.slots = slots;
    await server.listen();
    store.put(`servers/${server.id}`, server.entry());
  }
  store.put('op/config', configuration(maxConnections));
  const ports = {
    callers: await freePort(),
    readiness: await freePort(),
    metrics: await freePort(),
    peers: await freePort(),
  };
  const directory = mkdtempSync(join(tmpdir(), 'tarragonstile-crowd-'));
  const file = join(directory, 'entry.jsonc');
  writeFileSync(
    file,
    JSON.stringify(settingsOf(ports, storeAddress, { memoryMb, maxDescriptors })),
  );
  const args = [`--max-old-space-size=${heapMb}`, ...entryCommand.slice(1)];
  const process = new ObservedProcess(args, { TARRAGONSTILE_NODE_FILE: file });
  const isReady = async () => {
    const probe = await sendRaw(
      ports.readiness,
      'GET / HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n',
    );
    return probe.status === 200;
  };
  while (process.isAlive && !(await isReady()));
  const send = async (framing: string, body: string) => {
    const text = `${REQUEST_HEAD}Connection: close\r\n${framing}\r\n\r\n${body}`;
    return (await sendRaw(ports.callers, text)).status;
  };
  return {
    process,
    ports,
    servers,
    bodyBytes: BODY_BYTES,
    memoryBytes: memoryMb * MIB,
    maxDescriptors,
    requestHead: REQUEST_HEAD,
    ask: async () => ((await isReady()) ? send('Content-Length: 2', 'xy') : 0),
    askChunked: (chunkBytes) => {
      const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
      return send(
        'Transfer-Encoding: chunked',
        `${chunk.repeat(BODY_BYTES / chunkBytes)}0\r\n\r\n`,
      );
    },
    close: async () => {
      process.kill();
      await process.untilQuiet();
      store.close();
      for (const server of servers) server.close();
      rmSync(directory, { recursive: true });
    },
  };
}
