import type { ContentId, Ms, Revision } from '../../base/index.js';
import { countedCrashes, poisonRules, type Suspect } from '../../core/poison/index.js';
import type { ChangeFeed, KeyValue, Log, Swap } from '../../port/index.js';
import type { PoisonBook } from './poisonbook.js';

/** What the store says of one request. */
interface Stored {
  readonly revision: Revision;
  /** The upstreams that speak against it there. */
  readonly against: string;
}

/** Options of a poison store. */
interface PoisonStoreOptions {
  readonly book: PoisonBook;
  /** Keys of the records begin so. */
  readonly prefix: string;
  readonly log: Log;
  swap(swap: Swap): ReturnType<ChangeFeed['swap']>;
}

/** The store answers in milliseconds, or it is down for seconds. */
const RETRY_MS = 500;
/** Without the holder of orders, which writes at once, the entries that know of a request write it after this. */
const OTHERS_WRITE_AFTER_MS = 1000;
const ABSENT = 0 as Revision;

function against(suspect: Suspect | undefined): string {
  const counted = suspect ? countedCrashes(suspect) : [];
  // What one upstream's end says is forgotten with the processes: a dozen innocent requests share each.
  if (counted.length < poisonRules.leastCrashes) return '';
  return counted.map(({ upstream }) => upstream).join();
}

function decode(text: string): Suspect | undefined {
  try {
    const value = JSON.parse(text) as Partial<Suspect>;
    const isWhole = typeof value.content === 'string' && Array.isArray(value.crashes);
    return isWhole ? (value as Suspect) : undefined;
  } catch {
    return undefined;
  }
}

/** Requests under which two or more upstreams ended, as they are kept in the store: they outlive all entries. */
export class PoisonStore {
  private readonly stored = new Map<ContentId, Stored>();

  /** Requests whose record may have to be written, and from when. */
  private readonly due = new Map<ContentId, Ms>();

  private isWriting = false;

  constructor(private readonly options: PoisonStoreOptions) {}

  /** What is known of a request has changed. */
  changed(content: ContentId, nowMs: Ms, isHolder: boolean): void {
    const dueAtMs = isHolder ? nowMs : nowMs + OTHERS_WRITE_AFTER_MS;
    if (!this.due.has(content)) this.due.set(content, dueAtMs);
  }

  /** Writes one record that is due, if none is being written. */
  tick(nowMs: Ms): void {
    if (this.isWriting) return;
    for (const [content, dueAtMs] of this.due) {
      if (this.isUpToDate(content)) this.due.delete(content);
      else if (nowMs >= dueAtMs) {
        void this.write(content, nowMs);
        return;
      }
    }
  }

  /** A record as the store tells it; none once it is deleted, which lifts the verdict. */
  heard(key: string, item: KeyValue | undefined, nowMs: Ms): void {
    const { book, prefix, log } = this.options;
    const content = key.slice(prefix.length) as ContentId;
    const known = this.stored.get(content);
    if (!item) {
      if (!known) return;
      this.stored.delete(content);
      if (book.clear(content, nowMs)) log.info('poison record deleted', { content });
      return;
    }
    if (known && item.revision <= known.revision) return;
    const suspect = decode(item.value);
    if (!suspect || suspect.content !== content) {
      log.error('poison record not readable', { key, revision: item.revision });
      return;
    }
    this.stored.set(content, { revision: item.revision, against: against(suspect) });
    book.add(suspect, nowMs);
    if (!this.isUpToDate(content)) this.changed(content, nowMs, false);
  }

  private isUpToDate(content: ContentId): boolean {
    return against(this.options.book.get(content)) === (this.stored.get(content)?.against ?? '');
  }

  private async write(content: ContentId, nowMs: Ms): Promise<void> {
    const { book, prefix, log, swap } = this.options;
    this.isWriting = true;
    const suspect = book.get(content);
    const now = against(suspect);
    const key = `${prefix}${content}`;
    const expectedRevision = this.stored.get(content)?.revision ?? ABSENT;
    const value = now === '' ? undefined : JSON.stringify(suspect);
    this.due.set(content, nowMs + RETRY_MS);
    const said = await swap({ key, expectedRevision, value });
    this.isWriting = false;
    if (said.err) {
      log.warn('poison record not written', { content, failure: said.val.type });
      return;
    }
    if (said.val.type === 'conflict') {
      this.conflicting(content, key, said.val.current, nowMs);
      return;
    }
    log.info('poison record written', { content, upstreams: now, revision: said.val.revision });
    if (value === undefined) this.stored.delete(content);
    else this.stored.set(content, { revision: said.val.revision, against: now });
  }

  /** Another entry has written meanwhile: what both know is written next. */
  private conflicting(
    content: ContentId,
    key: string,
    current: KeyValue | undefined,
    nowMs: Ms,
  ): void {
    if (current) this.heard(key, current, nowMs);
    else this.stored.delete(content);
  }
}
