import type { Ms } from '../../base/index.js';
import type { UpstreamLoad, UpstreamPace } from '../../core/sharedload/index.js';
import type { ConnectionLoan } from '../connections/index.js';
import type { SuspectBatch } from '../poison/index.js';
import type { QuotaAnswer } from '../quota/index.js';
import type { MemberList } from '../memberlist.js';
import type { ReportedStateUpdate } from '../selfreport/index.js';
import type { ResidencyUpdate } from './residencyupdate.js';

/** The order lease holder's answer to an entry's demand report. */
export interface DemandAnswer {
  /** Number of entries that report to the holder, including the holder. */
  readonly entryCount: number;
  /** The entries that report to the holder; absent from a holder that does not list them. */
  readonly members?: MemberList;
  /** How long the store has answered the holder without a break, in ms; absent from a holder that does not say it. */
  readonly storeReachedMs?: Ms;
  /** Residency changes that orders made since the entry's cursor. */
  readonly news: ResidencyUpdate;
  /** Suspected queries of death that are new to the entry. */
  readonly poison?: SuspectBatch;
  /** Absent while the holder may not grant quota. */
  readonly quota?: QuotaAnswer;
  /** Upstreams' reported states as the holder knows them. */
  readonly standings?: readonly ReportedStateUpdate[];
  /** Connections to upstreams that the entry may open beyond its base. */
  readonly connections?: readonly ConnectionLoan[];
  /** Requests of all entries, including the one that reported; absent while the holder has heard of too few entries. */
  readonly loads?: readonly UpstreamLoad[];
  /** Average paces over all entries; absent from a holder without a load-aware service. */
  readonly paces?: readonly UpstreamPace[];
}
