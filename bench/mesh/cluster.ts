import {
  result,
  systemClock,
  type HostId,
  type Revision,
  type ServiceId,
} from '../../src/base/index.js';
import { serviceKey } from '../../src/core/acceptance/index.js';
import { byRendezvous } from '../../src/core/mesh/byrendezvous.js';
import { defaultOptions, type MeshOptions } from '../../src/core/mesh/index.js';
import { rankEntries } from '../../src/core/mesh/rankentries.js';
import type { HostList } from '../../src/port/index.js';
import type { BoardRecord } from '../../src/shell/board/index.js';
import { MeshBoard, serveMesh } from '../../src/shell/mesh/index.js';
import { absentStore, EtcdStore } from '../../src/shell/store/index.js';
import { MemoryStore, StoreServer } from '../../standin/index.js';
import { documentText } from './documenttext.js';
import { traffic } from './traffic.js';

type Host = Extract<Awaited<ReturnType<HostList['read']>>, { ok: true }>['val'][number];

/** A node with its listener. */
interface MeshNode {
  readonly id: string;
  readonly address: string;
  readonly role: 'entry' | 'sidecar';
  readonly board: MeshBoard;
  readonly store: EtcdStore | undefined;
  readonly close: () => void;
}

interface ClusterOptions {
  readonly entryCount: number;
  /** Number of sidecars, all of the same service; 0 by default. */
  readonly sidecarCount?: number;
  readonly tuning?: Partial<MeshOptions>;
}

const REGION = 'cantabrico';
const SERVICE = 'redactor' as ServiceId;
const noLog = { info() {}, warn() {}, error() {} };
const noMetrics = { count() {}, gauge() {}, histogram() {} };

/** Runs the nodes of a region and a stand-in store in this process. Nodes communicate by gRPC over loopback. */
export class Cluster {
  readonly store = new MemoryStore();

  readonly nodes = new Map<string, MeshNode>();

  private readonly server = new StoreServer(this.store);

  private readonly hosts: Host[] = [];

  private readonly frozen = new Set<string>();

  private seed = 0;

  private constructor(
    private readonly options: ClusterOptions,
    private readonly storeUrl: { value: string },
  ) {}

  /** Starts all nodes and waits until every one has caught up. */
  static async start(options: ClusterOptions): Promise<Cluster> {
    const cluster = new Cluster(options, { value: '' });
    cluster.storeUrl.value = await cluster.server.listen();
    for (let index = 0; index < options.entryCount; index += 1) {
      await cluster.launch(`entry-${index}`, 'entry');
    }
    for (let index = 0; index < (options.sidecarCount ?? 0); index += 1) {
      await cluster.launch(`sidecar-${index}`, 'sidecar');
    }
    await cluster.write();
    await cluster.waitUntil(() => cluster.live().every(({ board }) => board.caughtUp()));
    return cluster;
  }

  live(): readonly MeshNode[] {
    return [...this.nodes.values()];
  }

  /** Returns the nodes that watch the store, in the order in which they were started. */
  relays(): readonly MeshNode[] {
    return this.live().filter(({ board }) => board.status().store === 'watching');
  }

  /** Starts a node. A restarted node is passed its previous address. */
  async launch(id: string, role: 'entry' | 'sidecar', address = '127.0.0.1:0'): Promise<MeshNode> {
    this.seed += 1;
    const { seed } = this;
    return traffic.run(id, async () => {
      const store =
        role === 'entry'
          ? new EtcdStore({
              urls: [this.storeUrl.value],
              readsPerSecond: 20,
              writesPerSecond: 10,
              timeoutMs: 2000,
              clock: systemClock,
              seed,
            })
          : undefined;
      const board = new MeshBoard({
        hostId: id as HostId,
        region: REGION,
        role,
        interests: role === 'entry' ? [] : [`document/${SERVICE}`, `upstream/${SERVICE}/${id}`],
        clock: systemClock,
        log: noLog,
        metrics: noMetrics,
        store: store ?? absentStore,
        hasStore: role === 'entry',
        hostList: { read: () => Promise.resolve(result.Ok(this.hosts)) },
        hostListPollMs: 1000,
        seed,
        tuning: this.options.tuning,
      });
      const listener = (await serveMesh(this.freezableBoard(id, board), address)).unwrap();
      const node = { id, role, board, store, address: listener.address, close: listener.close };
      this.nodes.set(id, node);
      this.addToHostList(node);
      return node;
    });
  }

  /** Kills a node immediately; it stays in the host list. */
  async kill(id: string): Promise<void> {
    const node = this.nodes.get(id);
    this.nodes.delete(id);
    node?.close();
    await node?.store?.close();
  }

  /** Makes the store refuse every call, and closes all its watches. */
  storeDown(): void {
    this.store.faults.down = true;
    this.store.cutWatches();
  }

  storeUp(): void {
    this.store.faults.down = false;
  }

  /** Publishes a record at one of the nodes, as a sidecar does at its entry. */
  publish(record: BoardRecord, node: number): void {
    const nodes = this.live();
    nodes[node % nodes.length]?.board.publish(record);
  }

  /** Makes a node stop answering while its connections stay open. Returns a function that ends this. */
  freeze(id: string): () => void {
    this.frozen.add(id);
    return () => this.frozen.delete(id);
  }

  /** Returns the entries in the fan-out order of the document. */
  fanOutOrder(): readonly MeshNode[] {
    const entries = rankEntries(this.hosts.filter(({ role }) => role === 'entry'));
    const addresses = entries.map(({ address }) => address);
    const { relayCount } = defaultOptions;
    const rest = byRendezvous(addresses.slice(relayCount), `document/${SERVICE}`);
    const order = [...addresses.slice(0, relayCount), ...rest];
    const nodes = order.map((address) => this.live().find((node) => node.address === address));
    return nodes.filter((node) => node !== undefined);
  }

  /** Stores a new document for a region and returns its revision. */
  async write(region = REGION): Promise<Revision> {
    const key = serviceKey.of({ region, service: SERVICE });
    const members = this.hosts.filter(({ role }) => role === 'sidecar');
    const text = documentText(
      SERVICE,
      region,
      members.map(({ address }) => address),
    );
    const current = this.store.model.get(key);
    const swapped = await this.store.swap({
      key,
      expectedRevision: current?.revision ?? (0 as Revision),
      value: JSON.stringify({ document: text, audit: [] }),
    });
    const outcome = swapped.unwrap();
    return outcome.type === 'swapped' ? outcome.revision : (0 as Revision);
  }

  /** Polls a condition every 5 ms until it holds or the limit has passed. Returns true if it holds. */
  async waitUntil(condition: () => boolean, limitMs = 20_000): Promise<boolean> {
    const startMs = performance.now();
    while (performance.now() - startMs < limitMs) {
      if (condition()) return true;
      await this.pause(5);
    }
    return condition();
  }

  /** Returns, for each live node that is not frozen, the time from `startMs` until it has the revision in force. */
  async propagationTimes(
    revision: Revision,
    startMs: number,
    limitMs = 10_000,
  ): Promise<readonly number[]> {
    const nodes = this.live().filter(({ id }) => !this.frozen.has(id));
    const waits = nodes.map(({ board }) => {
      if (board.revision(SERVICE) >= revision) return Promise.resolve(performance.now() - startMs);
      return new Promise<number>((resolve) => {
        const resolveElapsed = () => resolve(performance.now() - startMs);
        const timer = setTimeout(resolveElapsed, limitMs);
        const stop = board.onChange(`document/${SERVICE}`, ({ sequence }) => {
          if (sequence < revision) return;
          clearTimeout(timer);
          stop();
          resolveElapsed();
        });
      });
    });
    return Promise.all(waits);
  }

  pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, ms);
    });
  }

  async close(): Promise<void> {
    for (const { id } of this.live()) await this.kill(id);
    await this.server.close();
  }

  /** Wraps a node's board so that calls are received but not answered while the node is frozen. */
  private freezableBoard(id: string, board: MeshBoard): Parameters<typeof serveMesh>[0] {
    const { pull, push } = board.handlers();
    return {
      handlers: () => ({
        pull: (call, reply) => {
          if (!this.frozen.has(id)) traffic.run(id, () => pull(call, reply));
        },
        push: (call, reply) => {
          if (!this.frozen.has(id)) traffic.run(id, () => push(call, reply));
        },
      }),
      start: (address) => board.start(address),
      stop: () => board.stop(),
    };
  }

  private addToHostList({ id, role, address }: MeshNode): void {
    if (this.hosts.some((host) => host.id === id)) return;
    const place = { availabilityZone: 'oviedo-a', region: REGION };
    this.hosts.push({ ...place, id: id as HostId, role, address, state: 'live' });
  }
}
