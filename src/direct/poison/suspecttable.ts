import type { ContentId, Ms, UpstreamId } from '../../base/index.js';
import {
  countedCrashes,
  judge,
  merge,
  type Crash,
  type CrashState,
  type Suspect,
  type Verdict,
} from '../../core/poison/index.js';
import { poisonLimits } from './poisonlimits.js';
import type { SuspectBatch } from './suspectbatch.js';
import type { SuspectCursor } from './suspectcursor.js';

/** One suspected request, with its verdict and the number and time of its last change. */
interface TrackedSuspect {
  readonly suspect: Suspect;
  readonly verdict: Verdict;
  readonly index: number;
  readonly changedAtMs: Ms;
}

/** Called after each change; `before` is the verdict until then. */
type OnChange = (suspect: Suspect, verdict: Verdict, before: Verdict) => void;

const RETENTION_MS: Readonly<Record<Verdict, Ms>> = {
  sound: poisonLimits.clearedRetentionMs,
  suspect: poisonLimits.suspectRetentionMs,
  poison: Infinity,
};

/**
 * The requests under which upstreams crashed, as far as this entry knows. Entries merge their tables in any order.
 * Each change has a number, so that another entry can be sent only what has changed since its cursor.
 */
export class SuspectTable {
  /** Ordered by last change, oldest first. */
  private readonly kept = new Map<ContentId, TrackedSuspect>();

  /** When this entry learned of each crash that is still open. */
  private readonly open = new Map<UpstreamId, Ms>();

  /** Requests that ran on an upstream when it seemed to crash. */
  private readonly byUpstream = new Map<UpstreamId, Set<ContentId>>();

  private index = 0;

  private poisonCount = 0;

  constructor(
    /** Identifies this table among those of other and earlier processes. */
    private readonly name: string,
    private readonly changed: OnChange,
  ) {}

  get isEmpty(): boolean {
    return this.kept.size === 0;
  }

  get sizes(): { readonly suspects: number; readonly poison: number } {
    return { suspects: this.kept.size, poison: this.poisonCount };
  }

  verdict(content: ContentId): Verdict {
    return this.kept.get(content)?.verdict ?? 'sound';
  }

  get(content: ContentId): Suspect | undefined {
    return this.kept.get(content)?.suspect;
  }

  all(): Suspect[] {
    return [...this.kept.values()].map(({ suspect }) => suspect);
  }

  /** Merges what this entry saw or another one reported. Returns true if anything was new. */
  add(reported: Suspect, nowMs: Ms): boolean {
    const known = this.kept.get(reported.content);
    const suspect = merge(known?.suspect, reported);
    if (suspect === known?.suspect) return false;
    const verdict = judge(suspect);
    const before = known?.verdict ?? 'sound';
    this.index += 1;
    this.poisonCount += Number(verdict === 'poison') - Number(before === 'poison');
    this.kept.delete(suspect.content);
    this.kept.set(suspect.content, { suspect, verdict, index: this.index, changedAtMs: nowMs });
    this.indexUpstreams(suspect, nowMs);
    this.evict();
    this.changed(suspect, verdict, before);
    return true;
  }

  /** Clears a request that completed, or that an operator wants retried. Returns true if it was suspected. */
  clear(content: ContentId, nowMs: Ms): boolean {
    const suspect = this.kept.get(content)?.suspect;
    return suspect !== undefined && this.update(suspect, () => 'cleared', nowMs);
  }

  /** Clears one crash of a request. */
  clearCrash(content: ContentId, upstream: UpstreamId, nowMs: Ms): void {
    const suspect = this.kept.get(content)?.suspect;
    const nextState = (crash: Crash) => (crash.upstream === upstream ? 'cleared' : crash.state);
    if (suspect) this.update(suspect, nextState, nowMs);
  }

  /** Returns the requests for which the crash of this upstream still counts. */
  at(upstream: UpstreamId): Suspect[] {
    const suspects: Suspect[] = [];
    for (const content of this.byUpstream.get(upstream) ?? []) {
      const suspect = this.kept.get(content)?.suspect;
      const counted = suspect ? countedCrashes(suspect) : [];
      if (counted.some((crash) => crash.upstream === upstream)) suspects.push(suspect!);
    }
    return suspects;
  }

  /**
   * Records that an upstream answered a request sent at `sentAtMs`: connections that broke before then were no crash.
   */
  answered(upstream: UpstreamId, sentAtMs: Ms, nowMs: Ms): void {
    const openAtMs = this.open.get(upstream);
    if (openAtMs !== undefined && openAtMs < sentAtMs) this.settle(upstream, 'explained', nowMs);
  }

  /** Settles an open crash: the upstream is either gone, or its lost connections have another explanation. */
  settle(upstream: UpstreamId, state: 'explained' | 'ended', nowMs: Ms): void {
    if (!this.open.delete(upstream)) return;
    const nextState = (crash: Crash) =>
      crash.upstream === upstream && crash.state === 'open' ? state : crash.state;
    for (const suspect of this.at(upstream)) this.update(suspect, nextState, nowMs);
  }

  /**
   * Returns upstreams whose crash has been open for longer than the time for which a crashed upstream stays in the
   * list.
   */
  overdue(nowMs: Ms): UpstreamId[] {
    const ids: UpstreamId[] = [];
    for (const [id, atMs] of this.open) {
      if (nowMs - atMs > poisonLimits.listLapseMs) ids.push(id);
    }
    return ids;
  }

  /** Returns the number of other upstreams that seemed to crash since a point in time. */
  crashesSince(sinceMs: Ms, except: UpstreamId): number {
    const ids = new Set<UpstreamId>();
    for (const { suspect, changedAtMs } of this.kept.values()) {
      if (changedAtMs < sinceMs) continue;
      for (const { upstream, state } of suspect.crashes) {
        if (upstream !== except && (state === 'open' || state === 'ended')) ids.add(upstream);
      }
    }
    return ids.size;
  }

  /** Returns the changes after a cursor, up to the size of one message. */
  changesSince(cursor: SuspectCursor | undefined): SuspectBatch {
    const from = cursor?.book === this.name ? cursor.index : 0;
    const suspects: Suspect[] = [];
    let index = from;
    if (this.index === from) return { book: this.name, index, suspects };
    for (const kept of this.kept.values()) {
      if (kept.index <= from) continue;
      if (suspects.length >= poisonLimits.maxBatchSize) break;
      suspects.push(kept.suspect);
      index = kept.index;
    }
    return { book: this.name, index, suspects };
  }

  /** Removes requests whose retention time is over. */
  expire(nowMs: Ms): void {
    for (const [content, { suspect, verdict, changedAtMs }] of this.kept) {
      if (nowMs - changedAtMs <= RETENTION_MS[verdict]) continue;
      this.remove(content);
      this.changed(suspect, 'sound', verdict);
    }
  }

  remove(content: ContentId): void {
    const kept = this.kept.get(content);
    if (!kept) return;
    this.kept.delete(content);
    if (kept.verdict === 'poison') this.poisonCount -= 1;
    for (const { upstream } of kept.suspect.crashes) {
      const contents = this.byUpstream.get(upstream);
      contents?.delete(content);
      if (contents?.size === 0) this.byUpstream.delete(upstream);
    }
  }

  private update(suspect: Suspect, nextState: (crash: Crash) => CrashState, nowMs: Ms): boolean {
    const crashes = suspect.crashes.map((crash) => ({ ...crash, state: nextState(crash) }));
    return this.add({ ...suspect, crashes }, nowMs);
  }

  private indexUpstreams({ content, crashes }: Suspect, nowMs: Ms): void {
    for (const { upstream, state } of crashes) {
      const contents = this.byUpstream.get(upstream) ?? new Set();
      this.byUpstream.set(upstream, contents.add(content));
      if (state === 'open' && !this.open.has(upstream)) this.open.set(upstream, nowMs);
    }
  }

  private evict(): void {
    if (this.poisonCount > poisonLimits.maxPoison) this.dropOldest(true);
    if (this.kept.size > poisonLimits.maxSuspects) this.dropOldest(false);
  }

  private dropOldest(isPoison: boolean): void {
    for (const [content, { verdict }] of this.kept) {
      if ((verdict === 'poison') !== isPoison) continue;
      this.remove(content);
      return;
    }
  }
}
