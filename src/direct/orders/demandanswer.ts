import type { SuspectBatch } from '../poison/index.js';
import type { QuotaAnswer } from '../quota/index.js';
import type { StandingNews } from '../selfreport/index.js';
import type { NewsBatch } from './newsbatch.js';

/** What the holder of orders tells an entry that has told it what it is asked for. */
export interface DemandAnswer {
  /** Entries that tell the holder, with itself. */
  readonly entryCount: number;
  /** What orders changed since the entry last heard. */
  readonly news: NewsBatch;
  /** What the holder knows of requests that may end upstreams, since the entry last heard. */
  readonly poison?: SuspectBatch;
  /** Absent from one that may not grant, or not yet. */
  readonly quota?: QuotaAnswer;
  /** What the holder knows that upstreams have said of themselves. */
  readonly standings?: readonly StandingNews[];
}
