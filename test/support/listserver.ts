import type { Clock, ModelId, Ms, UpstreamId } from '../../src/base/index.js';
import type { ListStore } from './liststore.js';
import { serverRecord } from './serverrecord.js';

/** Why the store has acknowledged that a server leaves or is gone. */
type Ack = 'draining' | 'removed' | 'lapsed';

const HEARTBEAT_MS = 1200;
/** A record expires after three missed heartbeats. */
const EXPIRES_MS = 3 * HEARTBEAT_MS;
const RETRY_MS = 150;
/** Longer than any entry is cut off from the list. */
const EMPTY_MS = 6000;
/** It serves on for this long after its record was removed. */
const LINGER_MS = 4000;
/** More streams than an engine gets in any of the worlds. */
const ENGINE_SLOTS = 64;

/** One start of a server, which writes its record to the store. */
export class ListServer {
  readonly key: string;

  /** When the store acknowledged that it leaves or is gone; undefined while it counts as ready. */
  ack: { readonly atMs: Ms; readonly what: Ack; readonly isStable: boolean } | undefined;

  /** Since when its own record has been in the store, apart from lapses during an outage. */
  listedSinceMs: Ms = Infinity;

  /** True once every entry has had the time to learn of it. */
  isEstablished = false;

  private state: 'ready' | 'draining' | 'ended' = 'ready';

  private sequence = 0;

  private writtenAtMs: Ms = -Infinity;

  private cutUntilMs: Ms = -Infinity;

  startCount = 0;

  private emptyUntilMs: Ms = -Infinity;

  private servesUntilMs: Ms = Infinity;

  /** Models in its memory; undefined if it is a plain server. */
  private models: Set<ModelId> | undefined;

  /** Since when it is down after a crash from which it returns; Infinity while it is not. */
  downSinceMs: Ms = Infinity;

  constructor(
    readonly id: UpstreamId,
    private readonly clock: Clock,
    private readonly store: ListStore,
    private readonly isStable: () => boolean,
    public softwareVersion?: string,
  ) {
    this.key = `servers/${id}`;
    this.beat();
    this.watchExpiry();
  }

  get isReady(): boolean {
    return this.state === 'ready';
  }

  /** True while it answers requests: it serves on for a while after it has left. */
  get isServing(): boolean {
    return this.clock.nowMs() < this.servesUntilMs && this.downSinceMs === Infinity;
  }

  /** True while it holds no model after a start under its id, and refuses requests. */
  get isEmpty(): boolean {
    return this.clock.nowMs() < this.emptyUntilMs;
  }

  /** Starts again under its id, with other software. Its next heartbeat shows it. */
  startAgain(softwareVersion: string | undefined): void {
    if (!this.isReady) return;
    this.startCount += 1;
    this.softwareVersion = softwareVersion;
    this.emptyUntilMs = this.clock.nowMs() + EMPTY_MS;
    this.unlist();
  }

  /** Ends at once; its record stays until it expires. */
  crash(): void {
    if (!this.isReady) return;
    this.state = 'ended';
    this.servesUntilMs = this.clock.nowMs();
    this.unlist();
  }

  /** Loads a model; its record shows it at once. */
  hold(model: ModelId): void {
    this.models ??= new Set();
    this.models.add(model);
    this.write();
  }

  holds(model: ModelId): boolean {
    return this.models?.has(model) ?? false;
  }

  /** Ends at once, and starts again under its id with the same software and an empty memory. */
  crashAndReturn(downMs: Ms): void {
    if (!this.isReady || this.downSinceMs < Infinity) return;
    this.startCount += 1;
    this.downSinceMs = this.clock.nowMs();
    this.unlist();
    this.clock.after(downMs, () => {
      this.downSinceMs = Infinity;
      this.models = new Set();
      this.write();
    });
  }

  get isCut(): boolean {
    return this.clock.nowMs() < this.cutUntilMs;
  }

  /** Reports that it leaves, and is removed when it has served for a while longer. */
  drain(servesMs: Ms): void {
    if (!this.isReady) return;
    this.state = 'draining';
    this.unlist();
    this.untilWritten(() => {
      this.acknowledge('draining');
      this.clock.after(servesMs, () => this.end());
    });
  }

  /** Leaves without a report: its record is removed, and it continues to serve. */
  leave(): void {
    if (!this.isReady) return;
    this.state = 'ended';
    this.servesUntilMs = this.clock.nowMs() + LINGER_MS;
    this.unlist();
    this.remove();
  }

  /** Cuts it off from the store; entries still reach it. */
  cut(forMs: Ms): void {
    this.cutUntilMs = this.clock.nowMs() + forMs;
    this.unlist();
  }

  /** Its next write gets no answer and is carried out later, if the record is still there. */
  writeLate(inMs: Ms): void {
    if (!this.isReady) return;
    this.sequence += 1;
    const value = this.record();
    this.clock.after(inMs, () => {
      if (this.store.has(this.key)) this.store.put(this.key, value);
    });
  }

  /** Another writer overwrites the record with something unreadable. */
  overwrite(): void {
    if (this.store.has(this.key) && this.store.put(this.key, 'junk')) {
      this.unlist();
    }
  }

  private end(): void {
    this.state = 'ended';
    this.servesUntilMs = this.clock.nowMs() + LINGER_MS;
    this.remove();
  }

  private remove(): void {
    if (this.store.isDown) {
      this.clock.after(RETRY_MS, () => this.remove());
      return;
    }
    this.store.remove(this.key);
    this.acknowledge('removed');
  }

  private unlist(): void {
    this.listedSinceMs = Infinity;
    this.isEstablished = false;
  }

  private acknowledge(what: Ack): void {
    if (what !== 'lapsed') this.unlist();
    if (this.ack && this.ack.what !== 'lapsed') return;
    this.ack = { atMs: this.clock.nowMs(), what, isStable: this.isStable() };
  }

  private record(): string {
    const { id, sequence, state, softwareVersion: version = 'v1' } = this;
    const number = Number(id.replaceAll(/\D/g, ''));
    const address = `10.0.${Math.floor(number / 200)}.${number % 200}:1`;
    const models = this.models && [...this.models].map((name) => ({ name, version: 1 }));
    const engine = models && { models, slots: ENGINE_SLOTS };
    return serverRecord({ address, state, seq: sequence, version, ...engine });
  }

  private write(): boolean {
    if (this.state === 'ended' || this.isCut || this.downSinceMs < Infinity) return false;
    this.sequence += 1;
    if (!this.store.put(this.key, this.record())) return false;
    this.writtenAtMs = this.clock.nowMs();
    if (!this.isReady) return true;
    if (this.ack?.what === 'lapsed') this.ack = undefined;
    this.listedSinceMs = Math.min(this.listedSinceMs, this.writtenAtMs);
    return true;
  }

  private untilWritten(act: () => void): void {
    if (this.write()) act();
    else this.clock.after(RETRY_MS, () => this.untilWritten(act));
  }

  private beat(): void {
    if (this.state === 'ended') return;
    this.write();
    this.clock.after(HEARTBEAT_MS, () => this.beat());
  }

  private watchExpiry(): void {
    const dueInMs = this.writtenAtMs + EXPIRES_MS - this.clock.nowMs();
    if (dueInMs <= 0 && this.store.has(this.key)) {
      this.store.remove(this.key);
      this.acknowledge('lapsed');
    }
    if (this.state === 'ended' && !this.store.has(this.key)) return;
    this.clock.after(Math.max(100, dueInMs), () => this.watchExpiry());
  }
}
