import type { Clock } from '../../base/index.js';
import type { PoisonBook } from './poisonbook.js';
import type { PoisonReport } from './poisonreport.js';
import type { SuspectBatch } from './suspectbatch.js';
import type { SuspectMark } from './suspectmark.js';

/** Keeps this entry's memory of suspected requests and that of the holder of orders alike. */
export class PoisonLink {
  /** How far the holder has heard of this memory, and this entry of the holder's. */
  private told: SuspectMark | undefined;

  private heard: SuspectMark | undefined;

  constructor(
    private readonly book: PoisonBook,
    private readonly clock: Clock,
  ) {}

  /** What goes to the holder with the next report. */
  report(): PoisonReport {
    const news = this.book.since(this.told);
    const { heard } = this;
    return news.suspects.length > 0 ? { heard, news } : { heard };
  }

  /** The holder has answered that report. */
  answered({ news }: PoisonReport, said: SuspectBatch): void {
    this.take(said);
    const { book, index } = said;
    // Another holder, or the same one after a restart, knows nothing of what this entry told before.
    if (this.heard?.book !== book) this.told = undefined;
    else if (news) this.told = { book: news.book, index: news.index };
    this.heard = { book, index };
  }

  /** Answers another entry's report, as the holder of orders. */
  answer({ heard, news }: PoisonReport): SuspectBatch {
    if (news) this.take(news);
    return this.book.since(heard);
  }

  private take({ suspects }: SuspectBatch): void {
    for (const suspect of suspects) this.book.add(suspect, this.clock.nowMs());
  }
}
