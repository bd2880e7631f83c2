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
import type { SuspectMark } from './suspectmark.js';

/** One request with what this entry needs to keep it. */
interface Kept {
  readonly suspect: Suspect;
  readonly verdict: Verdict;
  readonly index: number;
  readonly changedAtMs: Ms;
}

/** A change that entries should know of: `before` is what was thought until now. */
type Changed = (suspect: Suspect, verdict: Verdict, before: Verdict) => void;

const FORGETS: Readonly<Record<Verdict, Ms>> = {
  sound: poisonLimits.clearedKeptMs,
  suspect: poisonLimits.suspectKeptMs,
  poison: Infinity,
};

/**
 * What this entry knows of requests under which upstreams ended. Entries merge what they know in any order; each
 * change has a number, so that another one can be told what is new since it last heard.
 */
export class PoisonBook {
  /** In the order of their last change. */
  private readonly kept = new Map<ContentId, Kept>();

  /** When this entry learned of an upstream's end that is not explained yet. */
  private readonly open = new Map<UpstreamId, Ms>();

  /** Requests that seemed to end an upstream, by it. */
  private readonly byUpstream = new Map<UpstreamId, Set<ContentId>>();

  private index = 0;

  private poisonCount = 0;

  constructor(
    /** Tells this memory from that of an earlier or another process. */
    private readonly name: string,
    private readonly changed: Changed,
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

  /** Adds what this entry saw or another one told. Returns true if anything was new. */
  add(told: Suspect, nowMs: Ms): boolean {
    const known = this.kept.get(told.content);
    const suspect = merge(known?.suspect, told);
    if (suspect === known?.suspect) return false;
    const verdict = judge(suspect);
    const before = known?.verdict ?? 'sound';
    this.index += 1;
    this.poisonCount += Number(verdict === 'poison') - Number(before === 'poison');
    this.kept.delete(suspect.content);
    this.kept.set(suspect.content, { suspect, verdict, index: this.index, changedAtMs: nowMs });
    this.notePlaces(suspect, nowMs);
    this.makeRoom();
    this.changed(suspect, verdict, before);
    return true;
  }

  /** The same request ran well, or an operator wants it tried again. Returns true if it was suspected. */
  clear(content: ContentId, nowMs: Ms): boolean {
    const suspect = this.kept.get(content)?.suspect;
    return suspect !== undefined && this.mark(suspect, () => 'cleared', nowMs);
  }

  /** One end is no longer held against a request. */
  absolve(content: ContentId, upstream: UpstreamId, nowMs: Ms): void {
    const suspect = this.kept.get(content)?.suspect;
    const turn = (crash: Crash) => (crash.upstream === upstream ? 'cleared' : crash.state);
    if (suspect) this.mark(suspect, turn, nowMs);
  }

  /** Requests that ran at an upstream when it ended, and that nothing has cleared of that. */
  at(upstream: UpstreamId): Suspect[] {
    const suspects: Suspect[] = [];
    for (const content of this.byUpstream.get(upstream) ?? []) {
      const suspect = this.kept.get(content)?.suspect;
      const counted = suspect ? countedCrashes(suspect) : [];
      if (counted.some((crash) => crash.upstream === upstream)) suspects.push(suspect!);
    }
    return suspects;
  }

  /** An upstream answered what was sent to it at that time: whatever broke off there before, it has not ended. */
  answered(upstream: UpstreamId, sentAtMs: Ms, nowMs: Ms): void {
    const openAtMs = this.open.get(upstream);
    if (openAtMs !== undefined && openAtMs < sentAtMs) this.settle(upstream, 'explained', nowMs);
  }

  /** What has become clear of an upstream that seemed to end. */
  settle(upstream: UpstreamId, state: 'explained' | 'ended', nowMs: Ms): void {
    if (!this.open.delete(upstream)) return;
    const turn = (crash: Crash) =>
      crash.upstream === upstream && crash.state === 'open' ? state : crash.state;
    for (const suspect of this.at(upstream)) this.mark(suspect, turn, nowMs);
  }

  /** Upstreams whose end has been open for so long that the list would have told of it. */
  overdue(nowMs: Ms): UpstreamId[] {
    const ids: UpstreamId[] = [];
    for (const [id, atMs] of this.open) {
      if (nowMs - atMs > poisonLimits.leavesListMs) ids.push(id);
    }
    return ids;
  }

  /** Other upstreams that seemed to end after a time. */
  endsSince(sinceMs: Ms, except: UpstreamId): number {
    const ids = new Set<UpstreamId>();
    for (const { suspect, changedAtMs } of this.kept.values()) {
      if (changedAtMs < sinceMs) continue;
      for (const { upstream, state } of suspect.crashes) {
        if (upstream !== except && (state === 'open' || state === 'ended')) ids.add(upstream);
      }
    }
    return ids.size;
  }

  /** What is new since a mark, at most as much as one message takes. */
  since(mark: SuspectMark | undefined): SuspectBatch {
    const from = mark?.book === this.name ? mark.index : 0;
    const suspects: Suspect[] = [];
    let index = from;
    if (this.index === from) return { book: this.name, index, suspects };
    for (const kept of this.kept.values()) {
      if (kept.index <= from) continue;
      if (suspects.length >= poisonLimits.mostInBatch) break;
      suspects.push(kept.suspect);
      index = kept.index;
    }
    return { book: this.name, index, suspects };
  }

  /** Drops what has been kept long enough. */
  forget(nowMs: Ms): void {
    for (const [content, { suspect, verdict, changedAtMs }] of this.kept) {
      if (nowMs - changedAtMs <= FORGETS[verdict]) continue;
      this.drop(content);
      this.changed(suspect, 'sound', verdict);
    }
  }

  drop(content: ContentId): void {
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

  private mark(suspect: Suspect, turn: (crash: Crash) => CrashState, nowMs: Ms): boolean {
    const crashes = suspect.crashes.map((crash) => ({ ...crash, state: turn(crash) }));
    return this.add({ ...suspect, crashes }, nowMs);
  }

  private notePlaces({ content, crashes }: Suspect, nowMs: Ms): void {
    for (const { upstream, state } of crashes) {
      const contents = this.byUpstream.get(upstream) ?? new Set();
      this.byUpstream.set(upstream, contents.add(content));
      if (state === 'open' && !this.open.has(upstream)) this.open.set(upstream, nowMs);
    }
  }

  private makeRoom(): void {
    if (this.poisonCount > poisonLimits.mostPoison) this.dropFirst(true);
    if (this.kept.size > poisonLimits.mostSuspects) this.dropFirst(false);
  }

  private dropFirst(isPoison: boolean): void {
    for (const [content, { verdict }] of this.kept) {
      if ((verdict === 'poison') !== isPoison) continue;
      this.drop(content);
      return;
    }
  }
}
