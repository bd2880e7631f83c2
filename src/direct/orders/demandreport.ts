import type { ModelId, Ms, ServiceId, UpstreamId } from '../../base/index.js';
import type { PoisonReport } from '../poison/index.js';
import type { QuotaReport } from '../quota/index.js';
import type { StandingNews } from '../selfreport/index.js';
import type { NewsMark } from './newsmark.js';

/** What one entry saw of one model since its last report. */
interface ModelReport {
  readonly service: ServiceId;
  readonly model: ModelId;
  /** Requests that came. */
  readonly arrivals: number;
  /** Requests that ended at upstreams. */
  readonly ended: number;
  /** What those took together, in ms; absent from an entry that does not count it. */
  readonly endedMs?: Ms;
  /** Requests at upstreams now. */
  readonly running: number;
  /** Requests that wait because no upstream holds what they need. */
  readonly waiting: number;
  readonly adapters: readonly string[];
  /** Adapters with requests at upstreams now. */
  readonly busyAdapters: readonly string[];
}

/** What one entry tells the holder of orders, several times a second. */
export interface DemandReport {
  readonly entry: string;
  /** Where other entries reach it. */
  readonly address: string;
  readonly models: readonly ModelReport[];
  /** Upstreams that the entry finds lost: connections to them do not open. */
  readonly lost: readonly UpstreamId[];
  /** How far the entry has heard of what orders changed. */
  readonly heard?: NewsMark;
  /** Absent from an entry that knows nothing of suspected requests. */
  readonly poison?: PoisonReport;
  /** Absent where no customers are configured. */
  readonly quota?: QuotaReport;
  /** What upstreams have said of themselves; absent from an entry that does not heed it. */
  readonly standings?: readonly StandingNews[];
}
