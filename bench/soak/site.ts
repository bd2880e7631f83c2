import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  configurationOf,
  PlatformServer,
  PlatformStore,
  SlotGate,
} from '../../standin/platform/index.js';
import { changingRoutes } from './changingroutes.js';
import { customers } from './customers.js';
import { PeerRelays } from './peerrelays.js';
import { Ports } from './ports.js';
import { Program } from './program.js';
import { Proxy } from './proxy.js';
import { retryTerms } from './retryterms.js';

/** A server in the store's server list, with the proxy in front of it. */
export interface ListedServer {
  readonly server: PlatformServer;
  readonly proxy: Proxy;
  readonly address: string;
  /** When its listing became `draining` or was removed. */
  drainAtMs: number | undefined;
}

/** What a deployment has besides its defaults. */
interface SiteOptions {
  /** True if customers are configured. */
  readonly isKeyed?: boolean;
  /** Pause between the events of streams, in ms. */
  readonly eventGapMs?: number;
  /** True if servers enforce their slots and have paces, and the routes of the uneven load exist. */
  readonly isUneven?: boolean;
  /** True if configurations move routes between services and change time-outs. */
  readonly isChanging?: boolean;
  /** Part of a core that each entry may use; as much as it wants by default. */
  readonly cpuShare?: number;
  /** True if that holds for the start of an entry too. */
  readonly isStartLimited?: boolean;
  readonly engineCount?: number;
  /** Connections that each server accepts from all entries together. */
  readonly maxConnections?: number;
  /** Slots that engines announce; they are not enforced. */
  readonly engineSlots?: number;
  /** True if the entries reach each other through proxies. */
  readonly hasPeerRelays?: boolean;
}

const ZONES = ['z1', 'z2'];
const ENGINES = 4;
const HOST = 'caller.example';
const ORDER_LEASE_MS = 1000;
const GRACE_S = 4;
const MS_PER_S = 1000;
/** Number of probe routes in a configuration: one for each of the newest versions. */
const PROBE_ROUTES = 5;
const TARGET_LATENCY_MS = 500;
/** A server that has crashed is removed from the list and replaced by a new one after this. */
const REPLACE_AFTER_MS = 1200;

const ROUTES: Parameters<typeof configurationOf>[2] = [
  { name: 'lookup', kind: 'idempotent', service: 'plain', maxAttempts: 2 },
  { name: 'charge', kind: 'non_idempotent', service: 'plain' },
  { name: 'draft', kind: 'streaming', service: 'engine' },
  { name: 'batch', kind: 'streaming', service: 'engine', maxAttempts: 2, resumable: true },
];

/** Routes of the uneven load: two priorities in each service. */
const UNEVEN_ROUTES: typeof ROUTES = [0, 2].flatMap((priority) => [
  { name: `charge-${priority}`, kind: 'non_idempotent', service: 'plain', priority },
  { name: `draft-${priority}`, kind: 'streaming', service: 'engine', priority },
]);
const SLOTS = 4;
/** Time that work takes at servers, as a factor of the usual time, in turn. */
const PACES = [0.6, 1, 1.6];
/** Servers of the service `other` take three times the usual time for any number of requests at once. */
const OTHER = { count: 2, slots: 1000, pace: 3 };

/** Which routes and customers a configuration has besides those that each one has. */
interface ConfigurationChoice {
  readonly isKeyed: boolean;
  readonly isUneven: boolean;
  readonly isChanging: boolean;
  readonly maxConnections: number | undefined;
}

function createConfiguration(
  version: number,
  { isKeyed, isUneven, isChanging, maxConnections }: ConfigurationChoice,
): object {
  const probes = Array.from({ length: PROBE_ROUTES }, (_, at) => version - at)
    .filter((probe) => probe > 0)
    .map((probe) => ({ ...ROUTES[0]!, name: `probe-${probe}` }));
  const changing = isChanging ? changingRoutes.of(version) : [];
  const uneven = isUneven ? UNEVEN_ROUTES : [];
  const routes = [...ROUTES, ...probes, ...changing, ...uneven].map((route) => ({
    ...route,
    targetLatencyMs: TARGET_LATENCY_MS,
  }));
  const known = isKeyed ? customers.at(version, isUneven) : undefined;
  return configurationOf(version, HOST, routes, known, { maxConnections });
}

/**
 * Below the range from which the kernel takes the local ports of outgoing connections. Such a connection could
 * otherwise take the port of an entry while that is down.
 */
const PORT_RANGE = { first: 12_000, count: 18_000, countPerProcess: 400 };

/**
 * The deployment under test: real entries as processes, a stand-in store and stand-in servers. A proxy stands on
 * each connection from an entry to the store or to a server.
 */
export class Site {
  readonly store = new PlatformStore();

  readonly entries: Program[] = [];

  /** Proxies in front of the store, one for each entry. */
  readonly storeProxies: Proxy[] = [];

  /** Proxies between the entries; none are open without `hasPeerRelays`. */
  readonly peerRelays = new PeerRelays();

  private readonly peerPorts = new Map<string, number>();

  /** All servers since the start, including those that have left. */
  readonly servers: ListedServer[] = [];

  /** Times at which the store or a proxy in front of it was disturbed. */
  readonly storeDisturbedAtMs: number[] = [];

  /** Times at which a server's connections were reset or delayed. */
  readonly serversDisturbedAtMs: number[] = [];

  /** When each fault was injected that callers may notice. */
  readonly faultedAtMs: number[] = [];

  /** When each configuration version was written to the store. */
  readonly acceptedAtMs = new Map<number, number>();

  version = 0;

  /** Called for each server that is added. */
  added: (listed: ListedServer) => void = () => {};

  private readonly directory = mkdtempSync(join(tmpdir(), 'tarragonstile-soak-'));

  private readonly ports = new Ports(PORT_RANGE);

  private serverCount = 0;

  private releaseCount = 0;

  private isClosed = false;

  readonly isKeyed: boolean;

  readonly isUneven: boolean;

  readonly isChanging: boolean;

  readonly maxConnections: number | undefined;

  constructor(private readonly options: SiteOptions = {}) {
    this.isKeyed = options.isKeyed ?? false;
    this.isUneven = options.isUneven ?? false;
    this.isChanging = options.isChanging ?? false;
    this.maxConnections = options.maxConnections;
  }

  /** Number of newest versions whose probe routes a configuration has. */
  get probeRoutes(): number {
    return PROBE_ROUTES;
  }

  async start(entryCount: number, command: readonly string[]): Promise<void> {
    const storePort = Number((await this.store.listen()).split(':')[1]);
    for (let at = 0; at < 3; at += 1) await this.addServer('plain');
    const { engineCount = ENGINES } = this.options;
    for (let at = 0; at < engineCount; at += 1) {
      await this.addServer('engine', [`m${(at % 2) + 1}`]);
    }
    for (let at = 0; this.isChanging && at < OTHER.count; at += 1) await this.addServer('other');
    this.applyConfiguration();
    for (let at = 0; at < entryCount; at += 1) {
      const proxy = new Proxy(storePort);
      this.storeProxies.push(proxy);
      const { hasPeerRelays = false } = this.options;
      const run = hasPeerRelays ? PeerRelays.command(command) : command;
      this.entries.push(await this.entry(at, await proxy.listen(), run));
    }
    if (this.options.hasPeerRelays) await this.peerRelays.open(this.peerPorts, this.directory);
    for (const entry of this.entries) entry.start();
  }

  /** Writes the next configuration version, as the operator does. */
  applyConfiguration(): void {
    this.version += 1;
    this.store.put('op/config', createConfiguration(this.version, this));
    this.acceptedAtMs.set(this.version, performance.now());
  }

  async addServer(service: string, models: readonly string[] = []): Promise<void> {
    this.serverCount += 1;
    const zone = ZONES[this.serverCount % ZONES.length];
    const server = new PlatformServer(`s${this.serverCount}`, service, zone);
    for (const model of models) server.models.set(model, new Set());
    server.eventGapMs = this.options.eventGapMs ?? 0;
    const pace = PACES[this.serverCount % PACES.length]!;
    if (this.isUneven) server.gate = new SlotGate(SLOTS, pace);
    if (service === 'other') server.gate = new SlotGate(OTHER.slots, OTHER.pace);
    const { engineSlots } = this.options;
    if (service === 'engine' && engineSlots !== undefined) server.slots = engineSlots;
    if (service === 'engine') server.softwareVersion = this.softwareVersion;
    await server.listen();
    const proxy = new Proxy(Number(server.address.split(':')[1]));
    const listed: ListedServer = {
      server,
      proxy,
      address: await proxy.listen(),
      drainAtMs: undefined,
    };
    this.servers.push(listed);
    server.onCrash = () => this.replaceCrashed(listed);
    this.added(listed);
    server.onChange = () => {
      if (listed.drainAtMs === undefined) this.writeListing(listed, 'ready');
    };
    this.writeListing(listed, 'ready');
  }

  private replaceCrashed(listed: ListedServer): void {
    const { server, proxy } = listed;
    proxy.close();
    this.serversDisturbedAtMs.push(performance.now());
    setTimeout(() => {
      if (this.isClosed) return;
      this.removeListing(listed);
      void this.addServer(server.service, [...server.models.keys()]);
    }, REPLACE_AFTER_MS);
  }

  /** Version of the software with which engines start. */
  get softwareVersion(): string {
    return this.releaseCount === 0 ? 'v1' : `v1.${this.releaseCount}`;
  }

  /** Releases a new version: engines that start from now on run it. */
  release(): string {
    this.releaseCount += 1;
    return this.softwareVersion;
  }

  /** Lists a server as draining; it keeps serving. */
  drain(listed: ListedServer): void {
    const target = listed;
    target.drainAtMs = performance.now();
    this.writeListing(listed, 'draining');
  }

  /** Writes a server's record again, in a state that may be out of date. */
  relist(listed: ListedServer, state: string): void {
    if (!listed.server.isDown) this.writeListing(listed, state);
  }

  /** Removes a server from the list; it may keep serving. */
  removeListing(listed: ListedServer): void {
    const target = listed;
    target.drainAtMs ??= performance.now();
    this.store.remove(`servers/${listed.server.id}`);
  }

  /** Returns the servers that run and are not draining. */
  active(): ListedServer[] {
    return this.servers.filter(
      ({ drainAtMs: leavesAtMs, server }) => leavesAtMs === undefined && !server.isDown,
    );
  }

  /** Time that an entry has for a planned stop. */
  get graceMs(): number {
    return GRACE_S * MS_PER_S;
  }

  get orderLeaseMs(): number {
    return ORDER_LEASE_MS;
  }

  async close(): Promise<void> {
    this.isClosed = true;
    await Promise.all(this.entries.map((entry) => entry.close()));
    await this.ports.release();
    this.store.close();
    for (const proxy of this.storeProxies) proxy.close();
    this.peerRelays.close();
    for (const { server, proxy } of this.servers) {
      proxy.close();
      server.close();
    }
    rmSync(this.directory, { recursive: true, force: true });
  }

  private writeListing({ server, address }: ListedServer, state: string): void {
    this.store.put(`servers/${server.id}`, { ...server.entry(state), address });
  }

  private async entry(
    at: number,
    storeAddress: string,
    command: readonly string[],
  ): Promise<Program> {
    const [callers, readiness, peer, metricsPort] = await this.ports.take(4);
    const name = `entry-${at}`;
    const { cpuShare, isStartLimited } = this.options;
    this.peerPorts.set(name, peer!);
    const settings = {
      host: name,
      ip: '127.0.0.1',
      availabilityZone: ZONES[at % ZONES.length],
      cpuShare: cpuShare ?? 0.5,
      cores: 1,
      callersAddress: `127.0.0.1:${callers}`,
      readinessAddress: `127.0.0.1:${readiness}`,
      peerPorts: [peer, peer],
      metricsPort,
      storeAddress,
      leastLeaseMs: 1000,
      heartbeatMs: 1000,
      graceS: GRACE_S,
      retryRatio: retryTerms.ratio,
      retrySlack: retryTerms.slack,
      retryWindowS: retryTerms.windowMs / 1000,
      orderTurnMs: ORDER_LEASE_MS,
      loadWindowS: 5,
      loadOvershoot: 1.1,
      poisonKeepS: 3600,
      ...(this.isKeyed ? customers.quotaSettings : {}),
    };
    return new Program(
      name,
      callers!,
      command,
      this.directory,
      settings,
      cpuShare,
      isStartLimited,
      readiness,
    );
  }
}
