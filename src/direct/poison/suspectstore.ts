import type { Ms, Revision, TraitId, UpstreamId } from '../../base/index.js';
import { partTrait, type Suspect } from '../../core/poison/index.js';
import type { ChangeFeed, KeyValue, Log, Swap } from '../../port/index.js';
import { decodeSuspects } from './decodesuspects.js';
import { maxSuspectsLength } from './maxsuspectslength.js';
import type { SuspectTable } from './suspecttable.js';

/** The record that the store holds of one upstream's crash. */
interface Stored {
  readonly revision: Revision;
  /** Traits that ran there and have not been cleared. */
  readonly traits: ReadonlySet<TraitId>;
}

/** When a record is checked next. */
interface Due {
  readonly atMs: Ms;
  /** Writes the record then even if the only change is that traits have to be removed. */
  readonly isRemoval: boolean;
}

interface SuspectStoreOptions {
  readonly book: SuspectTable;
  /** Prefix of the records' keys. */
  readonly prefix: string;
  readonly log: Log;
  /** Merges what another entry wrote. */
  readonly learn: (suspect: Suspect) => void;
  /** True if the order lease holder knows all that this entry knows of a trait, and so will store it. */
  readonly isLeftToHolder: (trait: TraitId) => boolean;
  swap(swap: Swap): ReturnType<ChangeFeed['swap']>;
}

/**
 * Delay before the order lease holder writes a record. By then all entries have reported to it, connections that broke
 * at an upstream that is still running are explained, and runs have cleared the parts that many requests share: entries
 * that start would suspect those again, and each crash takes one write.
 */
const GATHER_MS = 1000;
/**
 * Delay at other entries. They write only what no order lease holder knows, as a new one takes over only after 2.6 s: if
 * each wrote what its copy of a record lacks, most writes would be refused, and each refusal returns the record.
 */
const OTHERS_GATHER_MS = 1500;
/** Contents are cleared one by one as their callers retry: waiting this long gathers them into one write. */
const REMOVE_AFTER_MS = 10_000;
/**
 * Delay before a failed write is repeated. The store answers within milliseconds, or it fails or rejects this entry for
 * seconds; each call is billed.
 */
const RETRY_MS = 2000;
/**
 * Bound on the suspects of one record: the contents and parts of twice the number of requests that an upstream runs at
 * once. Beyond it, and beyond the length of a record, the longest runs are left out.
 */
const MAX_SUSPECTS = 256;
const EMPTY_LENGTH = JSON.stringify({ suspects: [] }).length;
const ABSENT = 0 as Revision;

/**
 * Stores one record for each crash of an upstream, with the traits of what ran there, so that the evidence against a
 * trait survives a restart of all entries. Records of single requests, written from the second crash on, were not
 * enough: when all entries were killed every 15 s, a crashing request ran four times instead of three (in one of 187
 * seeds of the simulation).
 */
export class SuspectStore {
  private readonly stored = new Map<UpstreamId, Stored>();

  private readonly due = new Map<UpstreamId, Due>();

  private isWriting = false;

  constructor(private readonly options: SuspectStoreOptions) {}

  /** Schedules writes of the records that mention a trait: what is known of it has changed. */
  changed({ crashes }: Suspect, nowMs: Ms, isHolder: boolean): void {
    const atMs = nowMs + (isHolder ? GATHER_MS : OTHERS_GATHER_MS);
    for (const { upstream } of crashes) {
      const isSooner = atMs < (this.due.get(upstream)?.atMs ?? Infinity);
      if (isSooner) this.due.set(upstream, { atMs, isRemoval: false });
    }
  }

  /** Writes one record that is due, if none is being written. */
  tick(nowMs: Ms): void {
    if (this.isWriting) return;
    for (const [upstream, { atMs, isRemoval }] of this.due) {
      if (nowMs < atMs) continue;
      const { missing, surplus, isLeftToHolder } = this.difference(upstream);
      if (isLeftToHolder) {
        this.due.set(upstream, { atMs: nowMs + RETRY_MS, isRemoval });
        continue;
      }
      const hasSurplus = surplus.length > 0;
      // Entries that start would suspect a part that many requests share, and convict it at the next crash.
      const isUrgent = surplus.some((trait) => partTrait.partOf(trait) !== undefined);
      if (missing.length > 0 || isUrgent || (hasSurplus && isRemoval)) {
        void this.write(upstream, nowMs);
        return;
      }
      if (hasSurplus) this.due.set(upstream, { atMs: nowMs + REMOVE_AFTER_MS, isRemoval: true });
      else this.due.delete(upstream);
    }
  }

  /** Applies a record from the store. A trait that is missing from the new version was cleared by its writer. */
  heard(key: string, item: KeyValue | undefined, nowMs: Ms): void {
    const { book, prefix, log, learn } = this.options;
    const upstream = key.slice(prefix.length) as UpstreamId;
    const known = this.stored.get(upstream);
    if (item && known && item.revision <= known.revision) return;
    const suspects = item ? decodeSuspects(item.value) : [];
    if (!suspects) {
      log.error('poison record not readable', { key, revision: item?.revision });
      return;
    }
    const traits = new Set(suspects.map(({ trait }) => trait));
    if (item) this.stored.set(upstream, { revision: item.revision, traits });
    else this.stored.delete(upstream);
    for (const trait of known?.traits ?? []) {
      if (!traits.has(trait)) book.clearCrash(trait, upstream, nowMs);
    }
    for (const suspect of suspects) learn(suspect);
  }

  /**
   * Compares an upstream's record with its desired content: the traits that it lacks, those that it has too many, and
   * whether the holder will write all of these differences.
   */
  private difference(upstream: UpstreamId): {
    readonly missing: readonly TraitId[];
    readonly surplus: readonly TraitId[];
    readonly isLeftToHolder: boolean;
  } {
    const wanted = new Set(this.wanted(upstream).map(({ trait }) => trait));
    const has = this.stored.get(upstream)?.traits ?? new Set<TraitId>();
    const missing = [...wanted].filter((trait) => !has.has(trait));
    const surplus = [...has].filter((trait) => !wanted.has(trait));
    const differing = [...missing, ...surplus];
    const isLeftToHolder = differing.length > 0 && differing.every(this.options.isLeftToHolder);
    return { missing, surplus, isLeftToHolder };
  }

  /** Returns the desired content of an upstream's record: its suspects, each with the crash on this upstream only. */
  private wanted(upstream: UpstreamId): readonly Suspect[] {
    const ownCrashOnly = this.options.book.at(upstream).map((suspect) => ({
      ...suspect,
      crashes: suspect.crashes.filter((crash) => crash.upstream === upstream),
    }));
    ownCrashOnly.sort((a, b) => a.crashes[0]!.runMs - b.crashes[0]!.runMs);
    let length = EMPTY_LENGTH;
    const first = ownCrashOnly.slice(0, MAX_SUSPECTS);
    const end = first.findIndex((suspect) => {
      length += JSON.stringify(suspect).length + 1;
      return length > maxSuspectsLength;
    });
    return end < 0 ? first : first.slice(0, end);
  }

  private async write(upstream: UpstreamId, nowMs: Ms): Promise<void> {
    const { prefix, log, swap } = this.options;
    this.isWriting = true;
    const suspects = this.wanted(upstream);
    const key = `${prefix}${upstream}`;
    const expectedRevision = this.stored.get(upstream)?.revision ?? ABSENT;
    const value = suspects.length === 0 ? undefined : JSON.stringify({ suspects });
    this.due.set(upstream, { atMs: nowMs + RETRY_MS, isRemoval: true });
    const swapped = await swap({ key, expectedRevision, value });
    this.isWriting = false;
    if (swapped.err) {
      log.warn('poison record not written', { upstream, failure: swapped.val.type });
      return;
    }
    if (swapped.val.type === 'conflict') {
      // Another entry has written meanwhile: the merged record is written next.
      const bytes = swapped.val.current?.value.length ?? 0;
      log.info('poison record conflict', { upstream, suspects: suspects.length, bytes });
      this.heard(key, swapped.val.current, nowMs);
      return;
    }
    const { revision } = swapped.val;
    const bytes = value?.length ?? 0;
    log.info('poison record written', { upstream, suspects: suspects.length, bytes, revision });
    const traits = new Set(suspects.map(({ trait }) => trait));
    if (value === undefined) this.stored.delete(upstream);
    else this.stored.set(upstream, { revision, traits });
  }
}
