import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { VirtualClock, type HostId } from '../../src/base/index.js';
import {
  createMesh,
  isNewer,
  stepMesh,
  type MeshEffect,
  type MeshEvent,
  type MeshRecord,
  type MeshState,
} from '../../src/core/mesh/index.js';
import { WorldNode as Node } from './worldnode.js';

/** An action of the property test. Numbers select nodes or services, modulo their count. */
export type MeshAction =
  | { readonly type: 'write' | 'remove'; readonly service: number }
  | { readonly type: 'kill' | 'restart'; readonly node: number }
  | { readonly type: 'restartMany'; readonly mask: number }
  | { readonly type: 'publish'; readonly upstream: number }
  | { readonly type: 'partition'; readonly mask: number }
  | { readonly type: 'heal' | 'storeDown' | 'storeUp' | 'cutWatches' | 'compact' }
  | { readonly type: 'unlist' | 'list' }
  | { readonly type: 'wait'; readonly ms: number };

type Step = typeof stepMesh;

const TICK_MS = 200;
const MAX_DELAY_MS = 60;
const TIMEOUT_MS = 300;
const LOSS_PERCENT = 10;
const LIST_LAG_MS = 3000;
const SERVICES = 3;
const SETTLE_MS = 60_000;

function byteOf(value: number): Uint8Array {
  return Uint8Array.of(value % 256);
}

/** Simulates a region of nodes in virtual time, with lost, delayed and reordered messages. */
export class MeshWorld {
  /** Descriptions of violated properties. */
  readonly violations: string[] = [];

  private readonly clock = new VirtualClock();

  private readonly nodes: Node[];

  private readonly documents = new Map<string, MeshRecord>();

  private readonly incarnations = new Map<string, number>();

  private readonly watches = new Set<Node>();

  private readonly generator;

  private revision = 0;

  private compacted = 0;

  private storeIsUp = true;

  private partition = 0;

  private listed = true;

  private lossPercent = LOSS_PERCENT;

  constructor(
    seed: number,
    nodeCount: number,
    private readonly step: Step = stepMesh,
  ) {
    this.generator = xoroshiro128plus(seed);
    const ids = Array.from({ length: nodeCount }, (_, index) => `n${index}`);
    this.nodes = ids.map((id) => new Node(id, this.fresh(id, 0)));
    for (const node of this.nodes) this.start(node);
  }

  apply(action: MeshAction): void {
    const handlers: Record<MeshAction['type'], (each: never) => void> = {
      write: ({ service }: { service: number }) => this.write(service, true),
      remove: ({ service }: { service: number }) => this.write(service, false),
      kill: ({ node }: { node: number }) => this.kill(this.nodeAt(node)),
      restart: ({ node }: { node: number }) => {
        this.kill(this.nodeAt(node));
        this.start(this.nodeAt(node));
      },
      restartMany: ({ mask }: { mask: number }) => {
        const chosen = this.nodes.filter((_, index) => Math.floor(mask / 2 ** index) % 2 === 1);
        for (const node of chosen) this.kill(node);
        for (const node of chosen) this.start(node);
      },
      publish: ({ upstream }: { upstream: number }) => this.publish(upstream),
      partition: ({ mask }: { mask: number }) => {
        this.partition = mask;
      },
      heal: () => {
        this.partition = 0;
      },
      storeDown: () => {
        this.storeIsUp = false;
      },
      storeUp: () => {
        this.storeIsUp = true;
      },
      cutWatches: () => this.cut(false),
      compact: () => this.cut(true),
      unlist: () => {
        this.listed = false;
      },
      list: () => {
        this.listed = true;
      },
      wait: ({ ms }: { ms: number }) => this.clock.advanceTo(this.clock.nowMs() + ms),
    };
    handlers[action.type](action as never);
  }

  /** Ends all faults, waits, and records a violation for every node that differs from the store. */
  settle(): void {
    this.partition = 0;
    this.storeIsUp = true;
    this.listed = true;
    this.lossPercent = 0;
    for (const node of this.nodes.filter(({ up }) => !up)) this.start(node);
    this.clock.advanceTo(this.clock.nowMs() + SETTLE_MS);
    for (const { id, state } of this.nodes) {
      if (state.catchUp.phase !== 'current') this.violations.push(`${id} never caught up`);
      for (const [key, { sequence, value }] of this.documents) {
        const held = state.records.get(key);
        const heldBytes = held?.value.length ?? 0;
        const isThere = heldBytes > 0 && held?.sequence === sequence;
        if (value.length > 0 ? !isThere : heldBytes > 0) {
          this.violations.push(`${id} did not converge on ${key}`);
        }
      }
      for (const key of this.incarnations.keys()) {
        const epochs = this.nodes.map((node) => node.state.records.get(key)?.epoch);
        if (epochs.some((epoch) => epoch !== epochs[0])) this.violations.push(`${key} differs`);
      }
    }
  }

  private fresh(id: string, life: number): MeshState {
    const self = { id: id as HostId, address: id, role: 'entry' as const, interests: [] };
    const seed = Number(id.slice(1)) * 1000 + life;
    const options = { degree: 2, expiryMs: 15_000, resyncMs: 1e9 };
    return createMesh(
      { ...self, hasHostList: true, hasStore: true },
      seed,
      this.clock.nowMs(),
      options,
    );
  }

  private start(node: Node): void {
    const ready = this.nodes.filter(
      (other) => other !== node && other.up && other.state.catchUp.phase === 'current',
    );
    const lowest = (key: string) =>
      Math.min(...ready.map(({ state }) => state.records.get(key)?.sequence ?? 0));
    const keys = ready.length > 0 ? [...this.documents.keys()] : [];
    const floor = new Map(keys.map((key) => [key, lowest(key)]));
    node.begin(this.fresh(node.id, node.life + 1), floor);
    this.readHosts(node, node.life);
    this.tick(node, node.life);
  }

  private kill(node: Node): void {
    node.end();
    this.watches.delete(node);
  }

  private nodeAt(index: number): Node {
    return this.nodes[index % this.nodes.length] as Node;
  }

  private tick(node: Node, life: number): void {
    if (!node.up || node.life !== life) return;
    this.dispatch(node, { type: 'tick' });
    this.clock.after(TICK_MS, () => this.tick(node, life));
  }

  private readHosts(node: Node, life: number): void {
    if (!node.up || node.life !== life) return;
    const entries = this.nodes.map(({ id }) => ({
      id: id as HostId,
      address: id,
      state: 'live' as const,
    }));
    const listedIds = entries.map(({ id }) => id as string);
    if (this.listed) listedIds.push('host-0', 'host-1');
    this.dispatch(node, { type: 'hostList', entries, listedIds });
    this.clock.after(LIST_LAG_MS, () => this.readHosts(node, life));
  }

  private dispatch(node: Node, event: MeshEvent): void {
    const before = node.state;
    const { state, effects } = this.step(before, event, this.clock.nowMs());
    node.advance(state);
    if (state.records !== before.records) this.checkForward(node.id, before, state);
    for (const effect of effects) this.execute(node, effect);
  }

  private checkForward(id: string, before: MeshState, after: MeshState): void {
    for (const [key, held] of before.records) {
      const now = after.records.get(key);
      if (!now) this.violations.push(`${id} forgot ${key}`);
      else if (isNewer(held, now)) this.violations.push(`${id} reverted ${key}`);
    }
  }

  private execute(node: Node, effect: MeshEffect): void {
    const { life } = node;
    const respond = (event: MeshEvent) => {
      if (node.up && node.life === life) this.dispatch(node, event);
    };
    if (effect.type === 'push') this.push(node, effect, respond);
    if (effect.type === 'pull') this.pull(node, effect, respond);
    if (effect.type === 'listStore') this.later(() => respond(this.listing()));
    if (effect.type === 'openWatch') this.watch(node, effect.fromRevision, respond);
    if (effect.type === 'closeWatch') this.watches.delete(node);
    if (effect.type === 'caughtUp' && effect.phase === 'current') {
      if (this.isEarly(node)) this.violations.push(`${node.id} served too early`);
      for (const other of this.nodes) other.lowerFloor(node.state);
    }
  }

  /**
   * True if a node that reports to have caught up holds a version below its floor. Only a document that
   * the store has deleted may be missing.
   */
  private isEarly({ state, floor }: Node): boolean {
    for (const [key, sequence] of floor) {
      const held = state.records.get(key);
      const isGone = !held && this.documents.get(key)?.value.length === 0;
      if (!isGone && (held?.sequence ?? 0) < sequence) return true;
    }
    return false;
  }

  private push(
    node: Node,
    { to, batch }: Extract<MeshEffect, { type: 'push' }>,
    respond: (event: MeshEvent) => void,
  ): void {
    const keys = batch.records.map(({ key }) => key);
    this.send(node, to, { type: 'pushArrived', callId: 0, batch }, (answer) => {
      if (answer?.type !== 'answerPush') respond({ type: 'pushFailed', to, keys });
      else respond({ type: 'pushAnswered', to, revision: answer.digest.revision });
    });
  }

  private pull(
    node: Node,
    { to, digest }: Extract<MeshEffect, { type: 'pull' }>,
    respond: (event: MeshEvent) => void,
  ): void {
    this.send(node, to, { type: 'pullArrived', callId: 0, digest }, (answer) => {
      if (answer?.type !== 'answerPull') respond({ type: 'pullFailed', from: to });
      else respond({ type: 'pullAnswered', from: to, batch: answer.batch });
    });
  }

  /** Delivers a call and its answer. Either may be lost; the call then times out. */
  private send(
    from: Node,
    to: string,
    event: MeshEvent,
    done: (answer: MeshEffect | undefined) => void,
  ): void {
    const target = this.nodes.find(({ id }) => id === to);
    let over = false;
    const end = (answer: MeshEffect | undefined) => {
      if (!over) done(answer);
      over = true;
    };
    this.clock.after(TIMEOUT_MS, () => end(undefined));
    if (!target || this.isLost(from, target)) return;
    this.later(() => {
      if (!target.up) return;
      const before = target.state;
      const { state, effects } = this.step(before, event, this.clock.nowMs());
      target.advance(state);
      if (state.records !== before.records) this.checkForward(target.id, before, state);
      for (const effect of effects) {
        const isAnswer = effect.type === 'answerPush' || effect.type === 'answerPull';
        if (!isAnswer) this.execute(target, effect);
        else if (!this.isLost(target, from)) this.later(() => end(effect));
      }
    });
  }

  private isLost(from: Node, to: Node): boolean {
    const side = (node: Node) => Math.floor(this.partition / 2 ** this.nodes.indexOf(node)) % 2;
    if (this.partition > 0 && side(from) !== side(to)) return true;
    return uniformInt(this.generator, 0, 99) < this.lossPercent;
  }

  private later(act: () => void): void {
    this.clock.after(uniformInt(this.generator, 1, MAX_DELAY_MS), act);
  }

  private listing(): MeshEvent {
    if (!this.storeIsUp) return { type: 'storeFailed' };
    const records = [...this.documents.values()].filter(({ value }) => value.length > 0);
    return { type: 'storeListed', records, revision: this.revision };
  }

  private watch(node: Node, fromRevision: number, respond: (event: MeshEvent) => void): void {
    if (fromRevision < this.compacted) {
      this.later(() => respond({ type: 'watchEnded', compacted: true }));
      return;
    }
    this.watches.add(node);
    const missed = [...this.documents.values()].filter(({ sequence }) => sequence > fromRevision);
    for (const record of missed) this.later(() => respond({ type: 'watchTold', record }));
  }

  private write(service: number, exists: boolean): void {
    if (!this.storeIsUp) return;
    const key = `document/s${service % SERVICES}`;
    if (!exists && !this.documents.get(key)?.value.length) return;
    this.revision += 1;
    const value = exists ? byteOf(this.revision) : new Uint8Array(0);
    const record = { key, epoch: 0, sequence: this.revision, value, origin: '' };
    this.documents.set(key, record);
    for (const node of this.watches) {
      const { life } = node;
      this.later(() => {
        if (node.up && node.life === life && this.watches.has(node)) {
          this.dispatch(node, { type: 'watchTold', record });
        }
      });
    }
  }

  private cut(compact: boolean): void {
    if (compact) this.compacted = this.revision;
    for (const node of [...this.watches]) {
      this.watches.delete(node);
      this.dispatch(node, { type: 'watchEnded', compacted: false });
    }
  }

  /** Publishes the next incarnation of a sidecar to one node. */
  private publish(upstream: number): void {
    const index = upstream % 2;
    const key = `upstream/s0/u${index}`;
    const node = this.nodes.find(({ up }) => up);
    if (!node) return;
    const epoch = (this.incarnations.get(key) ?? 0) + 1;
    this.incarnations.set(key, epoch);
    const record = { key, epoch, sequence: 1, value: byteOf(epoch), origin: `host-${index}` };
    this.dispatch(node, { type: 'published', record });
  }
}
