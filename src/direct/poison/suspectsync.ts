import type { Suspect } from '../../core/poison/index.js';
import type { SuspectTable } from './suspecttable.js';
import type { PoisonReport } from './poisonreport.js';
import type { SuspectBatch } from './suspectbatch.js';
import type { SuspectCursor } from './suspectcursor.js';

/** Keeps the suspect tables of this entry and of the order lease holder in sync. */
export class SuspectSync {
  /** How much of this entry's table the holder has acknowledged. */
  private acknowledged: SuspectCursor | undefined;

  /** How much of the holder's table this entry has received. */
  private heard: SuspectCursor | undefined;

  constructor(
    private readonly book: SuspectTable,
    /** Merges what another entry reported, in its wire form. */
    private readonly learn: (reported: Suspect) => void,
  ) {}

  /** Returns the part on suspects of the next report to the holder. */
  report(): PoisonReport {
    const news = this.book.changesSince(this.acknowledged);
    const { heard } = this;
    return news.suspects.length > 0 ? { heard, news } : { heard };
  }

  /** Applies the holder's answer to a report. */
  answered({ news }: PoisonReport, reply: SuspectBatch): void {
    this.take(reply);
    const { book, index } = reply;
    // Another holder, or the same one after a restart, lacks what this entry reported before.
    if (this.heard?.book !== book) this.acknowledged = undefined;
    else if (news) this.acknowledged = { book: news.book, index: news.index };
    this.heard = { book, index };
  }

  /** Answers another entry's report, as the order lease holder. */
  answer({ heard, news }: PoisonReport): SuspectBatch {
    if (news) this.take(news);
    return this.book.changesSince(heard);
  }

  private take({ suspects }: SuspectBatch): void {
    for (const suspect of suspects) this.learn(suspect);
  }
}
