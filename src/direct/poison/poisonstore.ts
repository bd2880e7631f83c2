import type { ContentId, Ms, Revision, UpstreamId } from '../../base/index.js';
import type { Suspect } from '../../core/poison/index.js';
import type { ChangeFeed, KeyValue, Log, Swap } from '../../port/index.js';
import { decodeSuspects } from './decodesuspects.js';
import type { PoisonBook } from './poisonbook.js';

/** What the store says of the end of one upstream. */
interface Stored {
  readonly revision: Revision;
  /** Requests that ran there and that nothing has cleared. */
  readonly contents: ReadonlySet<ContentId>;
}

/** When a record is looked at next. */
interface Due {
  readonly atMs: Ms;
  /** It is written then also if it only has too much. */
  readonly isRemoval: boolean;
}

/** Options of a poison store. */
interface PoisonStoreOptions {
  readonly book: PoisonBook;
  /** Keys of the records begin so. */
  readonly prefix: string;
  readonly log: Log;
  swap(swap: Swap): ReturnType<ChangeFeed['swap']>;
}

/**
 * All entries have told the holder what they saw by then, and connections that broke at an upstream that goes on
 * are explained: one write for each end.
 */
const GATHER_MS = 300;
/** Without a holder of orders the entries write themselves what they saw; a new one is there after 2.6 s. */
const OTHERS_GATHER_MS = 1500;
/** Requests are cleared one by one as their callers come back: one write for all of them. */
const REMOVE_AFTER_MS = 10_000;
/** The store answers in milliseconds, or it is down, or turns this entry away, for seconds: each call is paid for. */
const RETRY_MS = 2000;
/** Twice the requests that an upstream runs at once; those that had run longest are left out beyond that. */
const MOST_RUNS = 64;
const ABSENT = 0 as Revision;

/**
 * Ends of upstreams with the requests that ran there, one record each, as the store keeps them: what is known of a
 * request outlives all entries. With records of requests under which two had ended, entries that were all killed
 * each quarter of a minute sent one on four times in place of three (one of the first 187 seeds of the test world).
 */
export class PoisonStore {
  private readonly stored = new Map<UpstreamId, Stored>();

  private readonly due = new Map<UpstreamId, Due>();

  private isWriting = false;

  constructor(private readonly options: PoisonStoreOptions) {}

  /** What is known of a request that ran at these upstreams has changed. */
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
      const { isShort, isLong } = this.difference(upstream);
      if (isShort || (isLong && isRemoval)) {
        void this.write(upstream, nowMs);
        return;
      }
      if (isLong) this.due.set(upstream, { atMs: nowMs + REMOVE_AFTER_MS, isRemoval: true });
      else this.due.delete(upstream);
    }
  }

  /** A record as the store tells it. What has gone from it was cleared by whoever wrote it. */
  heard(key: string, item: KeyValue | undefined, nowMs: Ms): void {
    const { book, prefix, log } = this.options;
    const upstream = key.slice(prefix.length) as UpstreamId;
    const known = this.stored.get(upstream);
    if (item && known && item.revision <= known.revision) return;
    const suspects = item ? decodeSuspects(item.value) : [];
    if (!suspects) {
      log.error('poison record not readable', { key, revision: item?.revision });
      return;
    }
    const contents = new Set(suspects.map(({ content }) => content));
    if (item) this.stored.set(upstream, { revision: item.revision, contents });
    else this.stored.delete(upstream);
    for (const content of known?.contents ?? []) {
      if (!contents.has(content)) book.absolve(content, upstream, nowMs);
    }
    for (const suspect of suspects) book.add(suspect, nowMs);
  }

  /** Whether the record of an upstream lacks a request, or has one too many. */
  private difference(upstream: UpstreamId): {
    readonly isShort: boolean;
    readonly isLong: boolean;
  } {
    const wanted = this.wanted(upstream);
    const has = this.stored.get(upstream)?.contents ?? new Set<ContentId>();
    const isShort = wanted.some(({ content }) => !has.has(content));
    return { isShort, isLong: !isShort && wanted.length < has.size };
  }

  /** What the record of an upstream's end should hold: each request with this end alone. */
  private wanted(upstream: UpstreamId): readonly Suspect[] {
    const alone = this.options.book.at(upstream).map((suspect) => ({
      ...suspect,
      crashes: suspect.crashes.filter((crash) => crash.upstream === upstream),
    }));
    alone.sort((a, b) => a.crashes[0]!.runMs - b.crashes[0]!.runMs);
    return alone.slice(0, MOST_RUNS);
  }

  private async write(upstream: UpstreamId, nowMs: Ms): Promise<void> {
    const { prefix, log, swap } = this.options;
    this.isWriting = true;
    const suspects = this.wanted(upstream);
    const key = `${prefix}${upstream}`;
    const expectedRevision = this.stored.get(upstream)?.revision ?? ABSENT;
    const value = suspects.length === 0 ? undefined : JSON.stringify({ suspects });
    this.due.set(upstream, { atMs: nowMs + RETRY_MS, isRemoval: true });
    const said = await swap({ key, expectedRevision, value });
    this.isWriting = false;
    if (said.err) {
      log.warn('poison record not written', { upstream, failure: said.val.type });
      return;
    }
    if (said.val.type === 'conflict') {
      // Another entry has written meanwhile: what both know is written next.
      this.heard(key, said.val.current, nowMs);
      return;
    }
    const { revision } = said.val;
    log.info('poison record written', { upstream, requests: suspects.length, revision });
    const contents = new Set(suspects.map(({ content }) => content));
    if (value === undefined) this.stored.delete(upstream);
    else this.stored.set(upstream, { revision, contents });
  }
}
