import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { configurationOf, PlatformServer, PlatformStore } from '../../standin/platform/index.js';
import { customers } from './customers.js';
import { Ports } from './ports.js';
import { Program } from './program.js';
import { Proxy } from './proxy.js';

/** A server and what stands before it. */
export interface Listed {
  readonly server: PlatformServer;
  readonly proxy: Proxy;
  readonly address: string;
  /** When it was said to leave. */
  leavesAtMs: number | undefined;
}

const ZONES = ['z1', 'z2'];
const HOST = 'caller.example';
const TURN_MS = 1000;
const GRACE_S = 4;
/** How many of the newest probe routes a configuration has. */
const PROBES = 5;
const TARGET_MS = 500;

const ROUTES: Parameters<typeof configurationOf>[2] = [
  { name: 'lookup', kind: 'idempotent', service: 'plain', maxAttempts: 2 },
  { name: 'charge', kind: 'non_idempotent', service: 'plain' },
  { name: 'draft', kind: 'streaming', service: 'engine' },
  { name: 'batch', kind: 'streaming', service: 'engine', maxAttempts: 2, resumable: true },
];

function configuration(version: number, isKeyed: boolean): object {
  const probes = Array.from({ length: PROBES }, (_, at) => version - at)
    .filter((probe) => probe > 0)
    .map((probe) => ({ ...ROUTES[0]!, name: `probe-${probe}` }));
  const routes = [...ROUTES, ...probes].map((route) => ({ ...route, targetLatencyMs: TARGET_MS }));
  return configurationOf(version, HOST, routes, isKeyed ? customers.at(version) : undefined);
}

/**
 * Below the range from which the kernel takes ports of outgoing connections: while an entry was down, such a
 * connection had taken its port.
 */
const PORTS = { first: 20_000, count: 10_000 };

/** The platform in miniature with real entries as processes, and a proxy on each way between them. */
export class Site {
  readonly store = new PlatformStore();

  readonly entries: Program[] = [];

  /** One before the store for each entry. */
  readonly storeProxies: Proxy[] = [];

  /** All servers that ever were, with those that have left. */
  readonly listed: Listed[] = [];

  /** When the store, or a way to it, was last disturbed. */
  readonly storeDisturbedAtMs: number[] = [];

  /** When a server's connections were reset or held up. */
  readonly serversDisturbedAtMs: number[] = [];

  /** When each configuration version was accepted. */
  readonly acceptedAtMs = new Map<number, number>();

  version = 0;

  /** Called for each server that comes later. */
  added: (listed: Listed) => void = () => {};

  private readonly directory = mkdtempSync(join(tmpdir(), 'tarragonstile-soak-'));

  private readonly ports = new Ports(PORTS);

  private serverCount = 0;

  constructor(private readonly isKeyed = false) {}

  async start(entryCount: number, command: readonly string[]): Promise<void> {
    const storePort = Number((await this.store.listen()).split(':')[1]);
    for (let at = 0; at < 3; at += 1) await this.addServer('plain');
    for (let at = 0; at < 4; at += 1) await this.addServer('engine', [`m${(at % 2) + 1}`]);
    this.accept();
    for (let at = 0; at < entryCount; at += 1) {
      const proxy = new Proxy(storePort);
      this.storeProxies.push(proxy);
      this.entries.push(await this.entry(at, await proxy.listen(), command));
    }
    for (const entry of this.entries) entry.start();
  }

  /** Writes the next configuration, as the operator does. */
  accept(): void {
    this.version += 1;
    this.store.put('op/config', configuration(this.version, this.isKeyed));
    this.acceptedAtMs.set(this.version, performance.now());
  }

  async addServer(service: string, models: readonly string[] = []): Promise<void> {
    this.serverCount += 1;
    const zone = ZONES[this.serverCount % ZONES.length];
    const server = new PlatformServer(`s${this.serverCount}`, service, zone);
    for (const model of models) server.models.set(model, new Set());
    await server.listen();
    const proxy = new Proxy(Number(server.address.split(':')[1]));
    const listed: Listed = {
      server,
      proxy,
      address: await proxy.listen(),
      leavesAtMs: undefined,
    };
    this.listed.push(listed);
    this.added(listed);
    server.onChange = () => {
      if (listed.leavesAtMs === undefined) this.list(listed, 'ready');
    };
    this.list(listed, 'ready');
  }

  /** Says that a server leaves; it serves on. */
  drain(listed: Listed): void {
    const mark = listed;
    mark.leavesAtMs = performance.now();
    this.list(listed, 'draining');
  }

  /** The list forgets a server that has ended. */
  drop(listed: Listed): void {
    const mark = listed;
    mark.leavesAtMs ??= performance.now();
    this.store.remove(`servers/${listed.server.id}`);
  }

  present(): Listed[] {
    return this.listed.filter(
      ({ leavesAtMs, server }) => leavesAtMs === undefined && !server.isDown,
    );
  }

  get turnMs(): number {
    return TURN_MS;
  }

  async close(): Promise<void> {
    await Promise.all(this.entries.map((entry) => entry.close()));
    this.store.close();
    for (const proxy of this.storeProxies) proxy.close();
    for (const { server, proxy } of this.listed) {
      proxy.close();
      server.close();
    }
    rmSync(this.directory, { recursive: true, force: true });
  }

  private list({ server, address }: Listed, state: string): void {
    this.store.put(`servers/${server.id}`, { ...server.entry(state), address });
  }

  private async entry(
    at: number,
    storeAddress: string,
    command: readonly string[],
  ): Promise<Program> {
    const [callers, readiness, peer, metricsPort] = await this.ports.take(4);
    const name = `entry-${at}`;
    const settings = {
      host: name,
      ip: '127.0.0.1',
      availabilityZone: ZONES[at % ZONES.length],
      cpuShare: 0.5,
      cores: 1,
      callersAddress: `127.0.0.1:${callers}`,
      readinessAddress: `127.0.0.1:${readiness}`,
      peerPorts: [peer, peer],
      metricsPort,
      storeAddress,
      leastLeaseMs: 1000,
      graceS: GRACE_S,
      retryRatio: 0.2,
      retrySlack: 80,
      retryWindowS: 10,
      orderTurnMs: TURN_MS,
      loadWindowS: 5,
      loadOvershoot: 1.1,
      poisonKeepS: 3600,
      ...(this.isKeyed ? customers.terms : {}),
    };
    return new Program(name, callers!, command, this.directory, settings);
  }
}
