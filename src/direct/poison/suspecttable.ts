import { isDeepStrictEqual } from 'node:util';
import type { Ms, ServiceId, TraitId, UpstreamId } from '../../base/index.js';
import {
  convict,
  countedCrashes,
  isRefuted,
  judge,
  merge,
  partTrait,
  poisonRules,
  type Assessment,
  type Conviction,
  type Crash,
  type Suspect,
  type Verdict,
} from '../../core/poison/index.js';
import { poisonLimits } from './poisonlimits.js';
import type { SuspectBatch } from './suspectbatch.js';
import type { SuspectCursor } from './suspectcursor.js';

/** One suspected trait, with the verdict by its own crashes and the number and time of its last change. */
interface TrackedSuspect {
  readonly suspect: Suspect;
  readonly verdict: Verdict;
  readonly index: number;
  readonly changedAtMs: Ms;
  /** The other entry's table that holds just the same, as far as this entry knows. */
  readonly knownTo?: string;
}

interface Software {
  readonly service: ServiceId;
  readonly softwareVersion: string | undefined;
}

/** A run that proves a trait sound. */
interface Proof extends Software {
  readonly answerBeganAtMs: Ms;
}

interface SuspectTableOptions {
  /** Identifies this table among those of other and earlier processes. */
  readonly name: string;
  /** Called after each change of what is known of a trait. */
  changed(suspect: Suspect): void;
  /** Called when a trait is convicted, or is no longer. */
  judged(suspect: Suspect, verdict: Verdict, conviction: Conviction | undefined): void;
}

const CLEARED: Partial<Crash> = { state: 'cleared' };

function isOn(crash: Crash, { service, softwareVersion }: Software): boolean {
  return crash.service === service && crash.softwareVersion === softwareVersion;
}

const RETENTION_MS: Readonly<Record<Verdict, Ms>> = {
  sound: poisonLimits.clearedRetentionMs,
  suspect: poisonLimits.suspectRetentionMs,
  poison: Infinity,
};

/**
 * The traits of requests under which upstreams crashed, as far as this entry knows. Entries merge their tables in any
 * order. Each change has a number, so that another entry can be sent only what has changed since its cursor.
 */
export class SuspectTable {
  /** Ordered by last change, oldest first. */
  private readonly kept = new Map<TraitId, TrackedSuspect>();

  /** Upstreams whose crash is still open. */
  private readonly open = new Set<UpstreamId>();

  /** Traits that ran on an upstream when it seemed to crash. */
  private readonly byUpstream = new Map<UpstreamId, Set<TraitId>>();

  /** When this entry learned of each crash. */
  private readonly knownAtMs = new Map<UpstreamId, Ms>();

  /** Traits that would be convicted by their own crashes alone. */
  private readonly candidates = new Set<TraitId>();

  private convictions: readonly Conviction[] = [];

  /** Convictions by each of their traits. */
  private convictionOf = new Map<TraitId, Conviction>();

  /** True if the convictions have to be computed again. */
  private isStale = false;

  private index = 0;

  constructor(private readonly options: SuspectTableOptions) {}

  get isEmpty(): boolean {
    return this.kept.size === 0;
  }

  get sizes(): { readonly suspects: number; readonly poison: number } {
    this.update();
    return { suspects: this.kept.size, poison: this.convictionOf.size };
  }

  /** Returns those of the traits of a request that bar it, apart from trials. */
  convictedAmong(traits: readonly TraitId[]): readonly TraitId[] {
    this.update();
    return traits.filter((trait) => {
      const conviction = this.convictionOf.get(trait);
      return conviction && [...conviction.traits].every((each) => traits.includes(each));
    });
  }

  /** Returns how a request with these traits is treated. */
  assess(traits: readonly TraitId[], nowMs: Ms): Assessment {
    const barring = this.convictedAmong(traits).find((trait) => !this.mayRetry(trait, nowMs));
    if (barring !== undefined) return { verdict: 'poison', trait: barring };
    const suspects = traits.filter(
      (trait) => this.convictionOf.has(trait) || this.isSuspected(trait),
    );
    return suspects.length > 0 ? { verdict: 'suspect', traits: suspects } : { verdict: 'sound' };
  }

  verdict(trait: TraitId): Verdict {
    this.update();
    if (this.convictionOf.has(trait)) return 'poison';
    return this.isSuspected(trait) ? 'suspect' : 'sound';
  }

  get(trait: TraitId): Suspect | undefined {
    return this.kept.get(trait)?.suspect;
  }

  all(): Suspect[] {
    return [...this.kept.values()].map(({ suspect }) => suspect);
  }

  /** Records that another entry's table holds the same of a trait, so that it need not be told. */
  markKnown(reported: Suspect, book: string): void {
    const kept = this.kept.get(reported.trait);
    if (!kept || !isDeepStrictEqual(kept.suspect, reported)) return;
    this.kept.set(reported.trait, { ...kept, knownTo: book });
  }

  /** Returns true if another entry's table, which has received changes up to `index`, holds what is known of a trait. */
  isKnownTo(trait: TraitId, book: string, index: number): boolean {
    const kept = this.kept.get(trait);
    return !kept || kept.knownTo === book || kept.index <= index;
  }

  /** Merges what this entry saw or another one reported. Returns true if anything was new. */
  add(reported: Suspect, nowMs: Ms): boolean {
    const { trait } = reported;
    const known = this.kept.get(trait);
    const merged = merge(known?.suspect, reported);
    if (merged === known?.suspect) return false;
    const suspect = this.pruned(merged, nowMs);
    const verdict = judge(suspect);
    this.index += 1;
    this.kept.delete(trait);
    this.kept.set(trait, { suspect, verdict, index: this.index, changedAtMs: nowMs });
    this.indexUpstreams(suspect, nowMs);
    if (verdict === 'poison') this.candidates.add(trait);
    else this.candidates.delete(trait);
    this.isStale = true;
    this.evict();
    this.options.changed(suspect);
    return true;
  }

  /** Clears a trait of all crashes, as an operator wants. Returns true if it was suspected. */
  clear(trait: TraitId, nowMs: Ms): boolean {
    return this.changeWhere(trait, () => true, CLEARED, nowMs);
  }

  /** Clears one crash of a trait. */
  clearCrash(trait: TraitId, upstream: UpstreamId, nowMs: Ms): void {
    this.changeWhere(trait, (crash) => crash.upstream === upstream, CLEARED, nowMs);
  }

  /** Clears the crashes that a run with the trait refutes. Returns true if there were any. */
  refute(trait: TraitId, proof: Proof, nowMs: Ms): boolean {
    const isRefutedBy = (crash: Crash) =>
      isOn(crash, proof) &&
      isRefuted(this.knownAtMs.get(crash.upstream) ?? -Infinity, proof.answerBeganAtMs);
    return this.changeWhere(trait, isRefutedBy, CLEARED, nowMs);
  }

  /** Records that this entry saw a trait run well on software that crashed later. Returns true if that is new. */
  vouch(trait: TraitId, software: Software, nowMs: Ms): boolean {
    const isMeant = (crash: Crash) => !crash.hasPriorProof && isOn(crash, software);
    return this.changeWhere(trait, isMeant, { hasPriorProof: true }, nowMs);
  }

  /** Returns the traits against which the crash of this upstream counts. */
  at(upstream: UpstreamId): Suspect[] {
    const suspects: Suspect[] = [];
    for (const trait of this.byUpstream.get(upstream) ?? []) {
      const suspect = this.kept.get(trait)?.suspect;
      const counted = suspect ? countedCrashes(suspect) : [];
      if (counted.some((crash) => crash.upstream === upstream)) suspects.push(suspect!);
    }
    return suspects;
  }

  /**
   * Records that an upstream answered a request sent at `sentAtMs`: connections that broke before then were no crash.
   */
  answered(upstream: UpstreamId, sentAtMs: Ms, nowMs: Ms): void {
    const isLater = this.open.has(upstream) && this.knownAtMs.get(upstream)! < sentAtMs;
    if (isLater) this.settle(upstream, 'explained', nowMs);
  }

  /** Settles an open crash: the upstream is either gone, or its lost connections have another explanation. */
  settle(upstream: UpstreamId, state: 'explained' | 'ended', nowMs: Ms): void {
    if (!this.open.delete(upstream)) return;
    const isMeant = (crash: Crash) => crash.upstream === upstream && crash.state === 'open';
    for (const { trait } of this.at(upstream)) this.changeWhere(trait, isMeant, { state }, nowMs);
  }

  /**
   * Returns upstreams whose crash has been open for longer than the time for which a crashed upstream stays in the
   * list.
   */
  overdue(nowMs: Ms): UpstreamId[] {
    const ids: UpstreamId[] = [];
    for (const id of this.open) {
      if (nowMs - this.knownAtMs.get(id)! > poisonLimits.listLapseMs) ids.push(id);
    }
    return ids;
  }

  /** Returns the number of other upstreams that seemed to crash since a point in time. */
  crashesSince(sinceMs: Ms, except: UpstreamId): number {
    let count = 0;
    for (const [upstream, atMs] of this.knownAtMs) {
      if (atMs >= sinceMs && upstream !== except && this.hasCounted(upstream)) count += 1;
    }
    return count;
  }

  /** Returns the changes after a cursor that another table does not know, up to the size of one message. */
  changesSince(cursor: SuspectCursor | undefined, knownTo?: string): SuspectBatch {
    const from = cursor?.book === this.options.name ? cursor.index : 0;
    const suspects: Suspect[] = [];
    let index = from;
    if (this.index === from) return { book: this.options.name, index, suspects };
    for (const kept of this.kept.values()) {
      if (kept.index <= from) continue;
      if (knownTo !== undefined && kept.knownTo === knownTo) continue;
      if (suspects.length >= poisonLimits.maxBatchSize) break;
      suspects.push(kept.suspect);
      index = kept.index;
    }
    return { book: this.options.name, index, suspects };
  }

  /** Removes traits whose retention time is over. */
  expire(nowMs: Ms): void {
    for (const [trait, { suspect, verdict, changedAtMs }] of this.kept) {
      if (nowMs - changedAtMs <= RETENTION_MS[verdict]) continue;
      this.remove(trait);
      this.options.changed(suspect);
    }
  }

  /** Computes the convictions again if the evidence has changed. */
  update(): void {
    if (!this.isStale) return;
    this.isStale = false;
    if (this.candidates.size === 0 && this.convictions.length === 0) return;
    const before = this.convictionOf;
    const suspects = [...this.candidates].map((trait) => this.get(trait)!);
    this.convictions = convict(suspects, (trait) => this.get(trait));
    this.convictionOf = new Map();
    for (const conviction of this.convictions) {
      for (const trait of conviction.traits) this.convictionOf.set(trait, conviction);
    }
    this.reportJudged(before);
  }

  /** Returns true if the crash of an upstream counts against any trait. */
  private hasCounted(upstream: UpstreamId): boolean {
    for (const trait of this.byUpstream.get(upstream) ?? []) {
      const counted = countedCrashes(this.get(trait)!);
      if (counted.some((crash) => crash.upstream === upstream)) return true;
    }
    return false;
  }

  private reportJudged(before: ReadonlyMap<TraitId, Conviction>): void {
    for (const [trait, conviction] of this.convictionOf) {
      const suspect = this.get(trait);
      if (!before.has(trait) && suspect) this.options.judged(suspect, 'poison', conviction);
    }
    for (const trait of before.keys()) {
      const suspect = this.get(trait);
      if (this.convictionOf.has(trait) || !suspect) continue;
      this.options.judged(suspect, this.verdict(trait), undefined);
    }
  }

  /** Returns true if a convicted trait may run as a trial again, as it may have been convicted by chance. */
  private mayRetry(trait: TraitId, nowMs: Ms): boolean {
    const suspect = this.get(trait);
    if (!suspect || partTrait.partOf(trait) === undefined) return false;
    const crashes = countedCrashes(suspect);
    const trialCount = crashes.filter(({ isTrial }) => isTrial).length;
    const lastMs = Math.max(
      ...crashes.map(({ upstream }) => this.knownAtMs.get(upstream) ?? nowMs),
    );
    return trialCount < poisonRules.finalTrials && nowMs - lastMs >= poisonRules.retrialAfterMs;
  }

  /** A conviction that explains the crashes of a trait may be wrong, so the trait is suspected until a run clears it. */
  private isSuspected(trait: TraitId): boolean {
    const verdict = this.kept.get(trait)?.verdict ?? 'sound';
    return verdict !== 'sound';
  }

  /** Leaves out crashes that no longer count and are known to all entries, and those beyond what a verdict needs. */
  private pruned(suspect: Suspect, nowMs: Ms): Suspect {
    const counted = countedCrashes(suspect).slice(0, poisonLimits.maxCrashes);
    const oldestMs = nowMs - poisonLimits.clearedRetentionMs;
    const isKept = (crash: Crash) => {
      if (crash.state === 'open' || crash.state === 'ended') return counted.includes(crash);
      return (this.knownAtMs.get(crash.upstream) ?? nowMs) > oldestMs;
    };
    const crashes = suspect.crashes.filter(isKept);
    return crashes.length < suspect.crashes.length ? { ...suspect, crashes } : suspect;
  }

  private remove(trait: TraitId): void {
    const kept = this.kept.get(trait);
    if (!kept) return;
    this.kept.delete(trait);
    this.candidates.delete(trait);
    this.isStale = true;
    for (const { upstream } of kept.suspect.crashes) {
      const traits = this.byUpstream.get(upstream);
      traits?.delete(trait);
      if (traits?.size !== 0) continue;
      this.byUpstream.delete(upstream);
      this.knownAtMs.delete(upstream);
      this.open.delete(upstream);
    }
  }

  /** Changes the counted crashes of a trait for which a condition holds. Returns true if there were any. */
  private changeWhere(
    trait: TraitId,
    isMeant: (crash: Crash) => boolean,
    change: Partial<Crash>,
    nowMs: Ms,
  ): boolean {
    const suspect = this.get(trait);
    if (!suspect) return false;
    const meant = new Set(countedCrashes(suspect).filter(isMeant));
    if (meant.size === 0) return false;
    const crashes = suspect.crashes.map((crash) =>
      meant.has(crash) ? { ...crash, ...change } : crash,
    );
    return this.add({ ...suspect, crashes }, nowMs);
  }

  private indexUpstreams({ trait, crashes }: Suspect, nowMs: Ms): void {
    for (const { upstream, state } of crashes) {
      const traits = this.byUpstream.get(upstream) ?? new Set();
      this.byUpstream.set(upstream, traits.add(trait));
      const isReopened = state === 'open' && !this.open.has(upstream);
      if (isReopened || !this.knownAtMs.has(upstream)) this.knownAtMs.set(upstream, nowMs);
      if (isReopened) this.open.add(upstream);
    }
  }

  private evict(): void {
    if (this.candidates.size > poisonLimits.maxPoison) this.dropOldest(true);
    if (this.kept.size > poisonLimits.maxSuspects) this.dropOldest(false);
  }

  private dropOldest(isPoison: boolean): void {
    for (const [trait, { verdict }] of this.kept) {
      if ((verdict === 'poison') !== isPoison) continue;
      this.remove(trait);
      return;
    }
  }
}
