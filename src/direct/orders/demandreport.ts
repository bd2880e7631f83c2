import type { ModelId, Ms, ServiceId, UpstreamId } from '../../base/index.js';
import type { UpstreamLoad, UpstreamPace } from '../../core/sharedload/index.js';
import type { ConnectionNeed } from '../connections/index.js';
import type { PoisonReport } from '../poison/index.js';
import type { QuotaReport } from '../quota/index.js';
import type { ReportedStateUpdate } from '../selfreport/index.js';
import type { ResidencyCursor } from './residencycursor.js';

/** One entry's counts for one model since its last report. */
interface ModelReport {
  readonly service: ServiceId;
  readonly model: ModelId;
  /** Requests that arrived. */
  readonly arrivals: number;
  /** Requests that ended at upstreams. */
  readonly ended: number;
  /** Total duration of the ended requests, in ms; absent from an entry that does not measure it. */
  readonly endedMs?: Ms;
  /** Requests at upstreams now. */
  readonly running: number;
  /** Requests that wait because no upstream has their target loaded, or all that have it are full. */
  readonly waiting: number;
  /** First tries that were refused because all upstreams with the model were full; absent: none. */
  readonly refusedFull?: number;
  readonly adapters: readonly string[];
  /** Adapters with requests at upstreams now. */
  readonly busyAdapters: readonly string[];
}

/** What one entry reports to the order lease holder, several times a second. */
export interface DemandReport {
  readonly entry: string;
  /** Address at which other entries reach this one. */
  readonly address: string;
  /** Absent from an entry that does not say it. */
  readonly availabilityZone?: string;
  /** Digest of the list of members that the entry has; absent if it has none. */
  readonly membersDigest?: number;
  readonly models: readonly ModelReport[];
  /** Upstreams that the entry considers lost: connections to them do not open. */
  readonly lost: readonly UpstreamId[];
  /** How long the store has answered the entry without a break, in ms; absent from an entry that does not say it. */
  readonly storeReachedMs?: Ms;
  /** Position up to which the entry knows residency changes. */
  readonly heard?: ResidencyCursor;
  /** Absent from an entry that does not track suspected queries of death. */
  readonly poison?: PoisonReport;
  /** Absent where no customers are configured. */
  readonly quota?: QuotaReport;
  /** Upstreams' reported states; absent from an entry that does not evaluate them. */
  readonly standings?: readonly ReportedStateUpdate[];
  /** Connections to upstreams that the entry has and needs beyond its base; absent from one that borrows none. */
  readonly connections?: readonly ConnectionNeed[];
  /** The entry's requests at upstreams of load-aware services; absent if it has no such service. */
  readonly loads?: readonly UpstreamLoad[];
  /** Average paces that the entry has learned and that have changed; absent if it has no load-aware service. */
  readonly paces?: readonly UpstreamPace[];
}
