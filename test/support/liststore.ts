import { result, type Clock, type Ms, type Revision } from '../../src/base/index.js';
import type { StateFeed } from '../../src/direct/sync/statefeed.js';
import type { ChangeFeed, Swap, SwapOutcome } from '../../src/port/index.js';

type Listed = Awaited<ReturnType<ChangeFeed['list']>>;
type Answer = Awaited<ReturnType<ChangeFeed['changes']>>;
type Change = Extract<Answer, { ok: true }>['val']['changes'][number];

/** How calls fail while the store is down. */
type Outage = 'silent' | 'refusing';

/** What a caller's calls meet on their way. */
interface Path {
  /** False while the caller is cut off from the store. */
  readonly isOpen: () => boolean;
  /** Returns true if this call is to fail alone, as a store may refuse any call. */
  readonly failsNow: () => boolean;
}

interface Watch {
  readonly check: () => void;
  readonly cut: () => void;
}

const LATENCY_MS = 4;
/** How much longer than its wait a caller waits for an answer, as the store's driver does. */
const MARGIN_MS = 700;
const LIST_TIMEOUT_MS = 1500;
const READ_AFTER_MUTE_MS = 500;

function failure(
  type: 'store-unavailable' | 'store-compacted' | 'store-outcome-unknown',
  detail: string,
) {
  return result.Err({ type, detail });
}

/** The platform's store in virtual time, as far as followers of its changes see it. */
export class ListStore {
  /** End of the last outage, or of the last time in which watches heard nothing. */
  disturbedAtMs: Ms = -Infinity;

  private readonly items = new Map<string, { value: string; revision: Revision }>();

  private readonly history: Change[] = [];

  private readonly watches = new Set<Watch>();

  private compactedTo = 0;

  private outage: { readonly untilMs: Ms; readonly how: Outage } | undefined;

  /** Watches hear nothing until then. */
  private mutedUntilMs: Ms = -Infinity;

  constructor(private readonly clock: Clock) {}

  get isDown(): boolean {
    return this.outage !== undefined && this.clock.nowMs() < this.outage.untilMs;
  }

  /** True while watches hear nothing, and for the time that a reader then needs. */
  get isMuted(): boolean {
    return this.clock.nowMs() < this.mutedUntilMs + READ_AFTER_MUTE_MS;
  }

  has(key: string): boolean {
    return this.items.has(key);
  }

  /** Writes a value. Returns false if the store is down. */
  put(key: string, value: string): boolean {
    if (this.isDown) return false;
    const revision = this.nextRevision();
    this.items.set(key, { value, revision });
    this.add({ type: 'put', item: { key, value, revision } });
    return true;
  }

  /** Removes a key, also during an outage, as expired leases do. */
  remove(key: string): void {
    if (!this.items.delete(key)) return;
    this.add({ type: 'deleted', key, revision: this.nextRevision() });
  }

  fail(how: Outage, forMs: Ms): void {
    const untilMs = this.clock.nowMs() + forMs;
    this.outage = { untilMs, how };
    this.disturbedAtMs = Math.max(this.disturbedAtMs, untilMs);
    if (how === 'refusing') this.cutWatches();
  }

  /** Cuts all calls that wait for changes. */
  cutWatches(): void {
    for (const watch of [...this.watches]) watch.cut();
  }

  /** Discards the history so far. */
  compact(): void {
    this.compactedTo = this.history.length;
    this.cutWatches();
  }

  /** Lets watches hear nothing for a while, then discards the history and cuts them. */
  mute(forMs: Ms): void {
    this.mutedUntilMs = this.clock.nowMs() + forMs;
    this.disturbedAtMs = Math.max(this.disturbedAtMs, this.mutedUntilMs);
    this.clock.after(forMs, () => this.compact());
  }

  feed(path: Path): StateFeed & Pick<ChangeFeed, 'swap'> {
    return {
      swap: (swap) => this.swap(path, swap),
      list: () => this.list(path),
      changes: (_, after, waitMs) => this.changes(path, after, waitMs),
    };
  }

  private nextRevision(): Revision {
    return (this.history.length + 1) as Revision;
  }

  private add(change: Change): void {
    this.history.push(change);
    for (const watch of [...this.watches]) watch.check();
  }

  /** Returns how a call fails now, after how long; undefined if the store answers. */
  private obstacle({ isOpen, failsNow }: Path, timeoutMs: Ms): Ms | undefined {
    if (!isOpen()) return timeoutMs;
    if (failsNow()) return LATENCY_MS;
    if (!this.isDown) return undefined;
    return this.outage!.how === 'silent' ? timeoutMs : LATENCY_MS;
  }

  private list(path: Path): Promise<Listed> {
    return new Promise((resolve) => {
      const failsInMs = this.obstacle(path, LIST_TIMEOUT_MS);
      if (failsInMs !== undefined) {
        this.clock.after(failsInMs, () => resolve(failure('store-unavailable', 'down')));
        return;
      }
      const revision = this.history.length as Revision;
      const items = [...this.items].map(([key, item]) => ({ key, ...item }));
      this.clock.after(LATENCY_MS, () => resolve(result.Ok({ items, revision })));
    });
  }

  private swap(path: Path, { key, expectedRevision, value }: Swap): ReturnType<ChangeFeed['swap']> {
    return new Promise((resolve) => {
      const failsInMs = this.obstacle(path, LIST_TIMEOUT_MS);
      if (failsInMs !== undefined) {
        this.clock.after(failsInMs, () => resolve(failure('store-outcome-unknown', 'down')));
        return;
      }
      const item = this.items.get(key);
      const current = item && { key, ...item };
      const isCurrent = (item?.revision ?? 0) === expectedRevision;
      if (isCurrent && value !== undefined) this.put(key, value);
      const revision = this.history.length as Revision;
      const outcome: SwapOutcome = isCurrent
        ? { type: 'swapped', revision }
        : { type: 'conflict', current };
      this.clock.after(LATENCY_MS, () => resolve(result.Ok(outcome)));
    });
  }

  private changes(path: Path, after: Revision, waitMs: Ms): Promise<Answer> {
    return new Promise((resolve) => {
      const failsInMs = this.obstacle(path, waitMs + MARGIN_MS);
      if (failsInMs !== undefined) {
        this.clock.after(failsInMs, () => resolve(failure('store-unavailable', 'down')));
        return;
      }
      this.wait(path, after, waitMs, resolve);
    });
  }

  private wait(path: Path, after: Revision, waitMs: Ms, resolve: (answer: Answer) => void): void {
    let isOver = false;
    let unwatch = () => {};
    const end = (answer: Answer, inMs = LATENCY_MS) => {
      if (isOver) return;
      isOver = true;
      unwatch();
      this.clock.after(inMs, () => resolve(answer));
    };
    const silent = () => this.obstacle({ ...path, failsNow: () => false }, MARGIN_MS);
    const check = (isLast = false) => {
      const failsInMs = silent();
      if (failsInMs !== undefined) {
        if (isLast) end(failure('store-unavailable', 'no answer'), failsInMs);
        return;
      }
      const isMuted = this.clock.nowMs() < this.mutedUntilMs;
      const changes = isMuted ? [] : this.history.slice(after);
      const revision = isMuted ? after : (this.history.length as Revision);
      if (changes.length > 0 || isLast) end(result.Ok({ changes, revision }));
    };
    const watch = {
      check: () => check(),
      cut: () => end(failure('store-unavailable', 'cut')),
    };
    if (after < this.compactedTo) {
      end(failure('store-compacted', 'history discarded'));
      return;
    }
    this.watches.add(watch);
    unwatch = () => this.watches.delete(watch);
    check();
    if (!isOver) this.clock.after(waitMs, () => check(true));
  }
}
