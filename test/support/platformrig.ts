import { systemClock } from '../../src/base/index.js';
import type { Log } from '../../src/port/index.js';
import { startEntry } from '../../platform/startentry.js';
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
  { name: 'draft', kind: 'streaming', service: 'engine' },
  { name: 'batch', kind: 'streaming', service: 'engine', maxAttempts: 2, resumable: true },
];
const HOST = 'caller.example';

/** An entry on the stand-ins of the prepared platform. */
export class PlatformRig {
  readonly store = new PlatformStore();

  readonly servers: PlatformServer[] = [];

  readonly lines: Line[] = [];

  private started!: Awaited<ReturnType<typeof startEntry>>;

  /** Starts the servers, writes the first configuration, and waits until the entry is ready. */
  async start(servers: readonly PlatformServer[], isConfigured = true): Promise<void> {
    const storeAddress = await this.store.listen();
    for (const server of servers) await this.add(server);
    if (isConfigured) this.configure(1);
    const write = (message: string, fields = {}) => {
      this.lines.push({ message, fields });
    };
    const log: Log = { info: write, warn: write, error: write };
    this.started = await startEntry(
      {
        host: 'entry-1',
        ip: '127.0.0.1',
        availabilityZone: 'z1',
        cpuShare: 0.5,
        cores: 1,
        callersAddress: '127.0.0.1:0',
        readinessAddress: '127.0.0.1:0',
        peerPorts: [0, 0],
        metricsPort: 0,
        storeAddress,
        leastLeaseMs: 1000,
        graceS: 2,
        retryRatio: 0.2,
        retrySlack: 80,
        retryWindowS: 10,
        orderTurnMs: 300,
        loadWindowS: 5,
        loadOvershoot: 1.1,
      },
      systemClock,
      log,
    );
    if (isConfigured) await this.until(() => this.started.entry.isReady());
  }

  get port(): number {
    return this.started.port;
  }

  get entry(): (typeof this.started)['entry'] {
    return this.started.entry;
  }

  async add(server: PlatformServer): Promise<void> {
    this.servers.push(server);
    await server.listen();
    const told = server;
    told.changed = () => this.list(server);
    this.list(server);
  }

  list(server: PlatformServer, state = 'ready'): void {
    this.store.put(`servers/${server.id}`, server.entry(state));
  }

  configure(version: number, left: readonly string[] = []): void {
    const routes = ROUTES.filter(({ name }) => !left.includes(name));
    this.store.put('op/config', configurationOf(version, HOST, routes));
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
    this.started.close();
    this.store.close();
    for (const server of this.servers) server.close();
  }
}
