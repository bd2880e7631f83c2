import type { Clock, Ms, TraitId } from '../../base/index.js';
import type { Suspect } from '../../core/poison/index.js';
import { poisonLimits } from './poisonlimits.js';
import { readSuspect } from './readsuspect.js';
import type { SuspectTable } from './suspecttable.js';
import type { PoisonReport } from './poisonreport.js';
import type { SuspectBatch } from './suspectbatch.js';
import type { SuspectCursor } from './suspectcursor.js';

/** A holder that has not answered for longer may be lost: reports are answered within 400 ms, four times a second. */
const HOLDER_SILENT_MS = 1500;

/** Keeps the suspect tables of this entry and of the order lease holder in sync. */
export class SuspectSync {
  /** How much of this entry's table the holder has acknowledged. */
  private acknowledged: SuspectCursor | undefined;

  /** How much of the holder's table this entry has received. */
  private heard: SuspectCursor | undefined;

  private answeredAtMs: Ms = -Infinity;

  private isAwaitingAnswer = false;

  /** True if the last answer was as large as one may be, so that the holder may have more to tell. */
  private mayHearMore = false;

  constructor(
    private readonly clock: Clock,
    private readonly book: SuspectTable,
    /** Merges what another entry reported, in its wire form. */
    private readonly learn: (reported: Suspect) => void,
  ) {}

  /** True while a report is on its way. Once it is answered, `hasMore` says whether another one is due. */
  get isWaiting(): boolean {
    return this.isAwaitingAnswer;
  }

  /** True if there is more to tell or to hear than was in the last exchange. */
  get hasMore(): boolean {
    return this.mayHearMore || this.news().suspects.length > 0;
  }

  /**
   * Returns the part on suspects of the next report to the holder; undefined while one is on its way, as the same
   * changes would be sent again both ways. `answered` or `unanswered` has to follow.
   */
  report(): PoisonReport | undefined {
    if (this.isAwaitingAnswer) return undefined;
    this.isAwaitingAnswer = true;
    const { heard } = this;
    const news = this.news();
    return news.suspects.length > 0 ? { heard, news } : { heard };
  }

  /** The last report got no answer. */
  unanswered(): void {
    this.isAwaitingAnswer = false;
  }

  /** Applies the holder's answer to a report. */
  answered({ news }: PoisonReport, reply: SuspectBatch): void {
    this.isAwaitingAnswer = false;
    this.take(reply);
    const { book, index, suspects } = reply;
    for (const suspect of suspects) this.markKnown(suspect, book);
    // Another holder, or the same one after a restart, lacks what this entry reported before.
    if (this.heard?.book !== book) this.acknowledged = undefined;
    else if (news) this.acknowledged = { book: news.book, index: news.index };
    this.heard = { book, index };
    this.answeredAtMs = this.clock.nowMs();
    this.mayHearMore = suspects.length >= poisonLimits.maxBatchSize;
  }

  /** Returns true if a holder that still answers knows all that this entry knows of a trait. */
  isKnownToHolder(trait: TraitId): boolean {
    const isSilent = this.clock.nowMs() - this.answeredAtMs > HOLDER_SILENT_MS;
    if (isSilent || !this.heard) return false;
    return this.book.isKnownTo(trait, this.heard.book, this.acknowledged?.index ?? 0);
  }

  /** Records that the store holds a suspect: the holder reads it there. */
  stored(reported: Suspect): void {
    if (this.heard) this.markKnown(reported, this.heard.book);
  }

  /** Answers another entry's report, as the order lease holder. */
  answer({ heard, news }: PoisonReport): SuspectBatch {
    if (news) this.take(news);
    return this.book.changesSince(heard);
  }

  private markKnown(reported: Suspect, book: string): void {
    const suspect = readSuspect(reported);
    if (suspect) this.book.markKnown(suspect, book);
  }

  private news(): SuspectBatch {
    return this.book.changesSince(this.acknowledged, this.heard?.book);
  }

  private take({ suspects }: SuspectBatch): void {
    for (const suspect of suspects) this.learn(suspect);
  }
}
