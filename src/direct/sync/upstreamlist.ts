import type { Clock, Ms, Revision, UpstreamId } from '../../base/index.js';
import { takeRecord, type Lifecycle, type Upstream } from '../../core/upstreams/index.js';
import type { KeyValue, Log } from '../../port/index.js';
import type { StateCodec } from '../statecodec.js';

/** Receives the changes of the list. */
interface Listener {
  upstream(upstream: Upstream): void;
  upstreamGone(id: UpstreamId): void;
  /** An upstream has restarted under its id: all earlier state of it is void. */
  upstreamRestarted(upstream: Upstream): void;
}

interface UpstreamListOptions {
  readonly codec: StateCodec;
  readonly listener: Listener;
  readonly clock: Clock;
  readonly log: Log;
  /** Returns the greatest possible age of what is known of the store, in ms. */
  readonly ageMs: () => Ms;
  /** Returns true if the store has answered lately. */
  readonly isStoreReached: () => boolean;
}

/** Bound on remembered unreadable records; beyond it they are logged again. */
const MAX_UNREADABLE = 1000;
/** Bound of the lifecycles that are kept; of those that are not listed the oldest is evicted. */
const MAX_LIFECYCLES = 4096;

/** The upstreams in the list. What one start of an upstream has said is not taken back by a later record. */
export class UpstreamList {
  private readonly lifecycles = new Map<UpstreamId, Lifecycle>();

  /** Unreadable records and the reason; each is logged once. */
  private readonly unreadable = new Map<UpstreamId, string>();

  /** Upstreams whose record may have expired during a store outage. */
  private readonly lapsed = new Set<UpstreamId>();

  /** From then on a removal is believed at once. */
  private trustFromMs: Ms = -Infinity;

  constructor(private readonly options: UpstreamListOptions) {}

  /** Applies a record. */
  put(id: UpstreamId, { value, revision }: KeyValue): void {
    const { codec, clock, listener } = this.options;
    const decoded = codec.decodeUpstream(id, value);
    if (decoded.err) {
      this.dropUnreadable(id, revision, decoded.val.detail);
      return;
    }
    this.unreadable.delete(id);
    const before = this.lifecycles.get(id);
    const taken = takeRecord(before, decoded.val, revision, clock.nowMs());
    const { verdict, lifecycle } = taken;
    const isTaken = verdict === 'current' || verdict === 'restart';
    if (verdict !== 'replayed') this.logRecord(decoded.val, before, revision, verdict);
    if (!isTaken) return;
    this.keep(id, lifecycle);
    this.lapsed.delete(id);
    const upstream = { ...decoded.val, isLeaving: lifecycle.isLeaving };
    if (verdict === 'restart') listener.upstreamRestarted(upstream);
    else listener.upstream(upstream);
  }

  /** Applies the removal of a record. */
  removed(id: UpstreamId, revision: Revision): void {
    const lifecycle = this.lifecycles.get(id);
    if (!lifecycle || lifecycle.removedAtMs !== undefined || revision < lifecycle.revision) return;
    const { clock, log } = this.options;
    const nowMs = clock.nowMs();
    if (nowMs >= this.trustFromMs) {
      this.forget(id, revision);
      return;
    }
    this.lapsed.add(id);
    const goneInMs = Math.round(this.trustFromMs - nowMs);
    log.info('upstream lapsed', { upstream: id, revision, goneInMs });
  }

  /** Removes all upstreams that a full read of the list at a revision lacks. */
  retain(present: ReadonlySet<UpstreamId>, revision: Revision): void {
    for (const id of [...this.lifecycles.keys()]) {
      if (!present.has(id)) this.removed(id, revision);
    }
  }

  /** Keeps upstreams whose records are removed for a while: they may have expired during an outage. */
  distrust(forMs: Ms): void {
    const { clock } = this.options;
    this.trustFromMs = clock.nowMs() + forMs;
    clock.after(forMs, () => this.dropLapsed());
  }

  /** Believes removals at once: every upstream whose record expired has had the time to write it again. */
  trust(): void {
    this.trustFromMs = Math.min(this.trustFromMs, this.options.clock.nowMs());
    this.dropLapsed();
  }

  /** Removes the upstreams that have not written again in time after an outage. */
  dropLapsed(): void {
    const { clock, isStoreReached } = this.options;
    if (clock.nowMs() < this.trustFromMs || !isStoreReached()) return;
    for (const id of [...this.lapsed]) this.forget(id);
  }

  private keep(id: UpstreamId, lifecycle: Lifecycle): void {
    // The order of the map is that of the last changes.
    this.lifecycles.delete(id);
    this.lifecycles.set(id, lifecycle);
    if (this.lifecycles.size <= MAX_LIFECYCLES) return;
    for (const [oldest, { removedAtMs }] of this.lifecycles) {
      if (removedAtMs === undefined) continue;
      this.lifecycles.delete(oldest);
      return;
    }
  }

  /** Drops an upstream whose record is unreadable, such as one by another writer; its next own record restores it. */
  private dropUnreadable(id: UpstreamId, revision: Revision, detail: string): void {
    if (this.unreadable.get(id) !== detail) {
      if (this.unreadable.size >= MAX_UNREADABLE) this.unreadable.clear();
      this.unreadable.set(id, detail);
      this.options.log.error('upstream not readable', { upstream: id, revision, detail });
    }
    if (this.lifecycles.get(id)?.removedAtMs === undefined) this.forget(id, revision);
  }

  private forget(id: UpstreamId, revision?: Revision): void {
    const lifecycle = this.lifecycles.get(id);
    this.lapsed.delete(id);
    if (!lifecycle) return;
    const { clock, log, listener, ageMs } = this.options;
    const removedAtMs = clock.nowMs();
    this.keep(id, { ...lifecycle, removedAtMs, revision: revision ?? lifecycle.revision });
    log.info('upstream gone', { upstream: id, revision, listAgeMs: Math.round(ageMs()) });
    listener.upstreamGone(id);
  }

  /** Logs a record that changes more than what an upstream holds, or that is ignored. */
  private logRecord(
    { id, startedAtMs, sequence, isLeaving, leavesInMs, softwareVersion }: Upstream,
    before: Lifecycle | undefined,
    revision: Revision,
    verdict: ReturnType<typeof takeRecord>['verdict'],
  ): void {
    const { log, ageMs } = this.options;
    const isListed = before !== undefined && before.removedAtMs === undefined;
    if (verdict === 'current' && isListed && before.isLeaving === isLeaving) return;
    const fields = {
      upstream: id,
      softwareVersion,
      revision,
      sequence,
      sequenceBefore: before?.sequence,
      listAgeMs: Math.round(ageMs()),
    };
    if (verdict === 'restart') {
      const startedBeforeMs = before?.startedAtMs;
      log.info('upstream started again', { ...fields, startedAtMs, before: startedBeforeMs });
    } else if (verdict !== 'current') {
      log.info('upstream record ignored', { ...fields, reason: verdict });
    } else if (isLeaving) {
      log.info('upstream leaving', { ...fields, leavesInMs });
    } else if (before?.isLeaving) {
      log.warn('upstream that leaves wrote that it is ready', fields);
    } else log.info('upstream listed', fields);
  }
}
