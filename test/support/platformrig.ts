import { systemClock } from '../../src/base/index.js';
import type { Log } from '../../src/port/index.js';
import { startEntry } from '../../platform/startentry.js';
import { freePort } from './freeport.js';
import { configurationOf, PlatformServer, PlatformStore } from '../../standin/platform/index.js';

/** One line of the entry's log. */
interface Line {
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

const ROUTES: Parameters<typeof configurationOf>[2] = [
  { name: 'lookup', kind: 'idempotent', service: 'plain', maxAttempts: 2 },
  { name: 'charge', kind: 'non_idempotent', service: 'plain' },
  { name: 'short', kind: 'non_idempotent', service: 'plain', timeoutMs: 300 },
  { name: 'open', kind: 'idempotent', service: 'plain', isPublic: true },
  { name: 'draft', kind: 'streaming', service: 'engine' },
  { name: 'batch', kind: 'streaming', service: 'engine', maxAttempts: 2, resumable: true },
];
const HOST = 'caller.example';
/** How long the list still names a server that has crashed. */
const LAPSE_MS = 300;

/** An entry on the stand-ins of the prepared platform. */
export class PlatformRig {
  readonly store = new PlatformStore();

  readonly servers: PlatformServer[] = [];

  readonly lines: Line[] = [];

  /** Paths whose requests end the server that runs them, by how many ms after their run began. */
  readonly crashing = new Map<string, number>();

  /** Customers of the next configurations; none are configured while this is undefined. */
  customers: Parameters<typeof configurationOf>[3];

  /** Of all routes of the next configurations; the stand-in's own without it. */
  targetLatencyMs: number | undefined;

  /** Of entries that start from now on. */
  strictRevokeMs: number | undefined;

  private readonly started: (Awaited<ReturnType<typeof startEntry>> | undefined)[] = [];

  private readonly peers: string[] = [];

  private storeAddress = '';

  private isClosed = false;

  /** Starts the servers, writes the first configuration, and waits until the entry is ready. */
  async start(
    servers: readonly PlatformServer[],
    isConfigured = true,
    entryCount = 1,
  ): Promise<void> {
    this.storeAddress = await this.store.listen();
    for (const server of servers) await this.add(server);
    if (isConfigured) this.configure(1);
    for (let at = 0; at < entryCount; at += 1) await this.startEntry(at);
    for (const each of isConfigured ? this.started : []) {
      await this.until(() => each!.entry.isReady());
    }
  }

  /** Starts the entry of this number, again after `stopEntry`. */
  async startEntry(at: number): Promise<void> {
    const write = (message: string, fields = {}) => {
      this.lines.push({ message, fields });
    };
    const log: Log = { info: write, warn: write, error: write };
    const peerPort = await freePort();
    this.peers[at] = `127.0.0.1:${peerPort}`;
    this.started[at] = await startEntry(
      {
        host: `entry-${at + 1}`,
        ip: '127.0.0.1',
        availabilityZone: 'z1',
        cpuShare: 0.5,
        cores: 1,
        callersAddress: '127.0.0.1:0',
        readinessAddress: '127.0.0.1:0',
        peerPorts: [peerPort, peerPort],
        metricsPort: 0,
        storeAddress: this.storeAddress,
        leastLeaseMs: 1000,
        graceS: 2,
        retryRatio: 0.2,
        retrySlack: 80,
        retryWindowS: 10,
        orderTurnMs: 300,
        loadWindowS: 5,
        loadOvershoot: 1.1,
        poisonKeepS: 3600,
        quotaWindowS: 8,
        quotaOvershoot: 0.1,
        quotaSlack: 500,
        strictRevokeMs: this.strictRevokeMs,
      },
      systemClock,
      log,
    );
  }

  /** Ends the entry of this number, as a kill does: it tells nobody. */
  stopEntry(at: number): void {
    this.started[at]?.close();
    this.started[at] = undefined;
  }

  get port(): number {
    return this.portOf(0);
  }

  /** Where other entries reach the entry of this number. */
  peerOf(at: number): string {
    return this.peers[at]!;
  }

  portOf(at: number): number {
    return this.started[at]!.port;
  }

  get entry(): Awaited<ReturnType<typeof startEntry>>['entry'] {
    return this.entryOf(0);
  }

  entryOf(at: number): Awaited<ReturnType<typeof startEntry>>['entry'] {
    return this.started[at]!.entry;
  }

  async add(server: PlatformServer): Promise<void> {
    this.servers.push(server);
    await server.listen();
    const told = server;
    told.changed = () => this.list(server);
    told.crashing = this.crashing;
    told.crashed = () => {
      this.replace(server).catch(() => undefined);
    };
    this.list(server);
  }

  /** A server that has ended starts again as another one, with what it held; the list forgets it later. */
  private async replace({ id, service, availabilityZone, models }: PlatformServer): Promise<void> {
    const next = new PlatformServer(`${id}+`, service, availabilityZone);
    for (const [model, adapters] of models) next.models.set(model, new Set(adapters));
    setTimeout(() => this.store.remove(`servers/${id}`), LAPSE_MS);
    if (!this.isClosed) await this.add(next);
  }

  list(server: PlatformServer, state = 'ready'): void {
    this.store.put(`servers/${server.id}`, server.entry(state));
  }

  configure(version: number, left: readonly string[] = []): void {
    const { targetLatencyMs } = this;
    const kept = ROUTES.filter(({ name }) => !left.includes(name));
    const routes = kept.map((route) => ({ ...route, targetLatencyMs }));
    this.store.put('op/config', configurationOf(version, HOST, routes, this.customers));
  }

  /** Waits for something that follows from what was done; ava's own timeout ends a wait in vain. */
  async until(isTrue: () => boolean): Promise<void> {
    while (!isTrue()) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
  }

  said(message: string): Line | undefined {
    return this.lines.find((line) => line.message === message);
  }

  close(): void {
    this.isClosed = true;
    for (const each of this.started) each?.close();
    this.store.close();
    for (const server of this.servers) server.close();
  }
}
