import type {
  AdapterId,
  Incarnation,
  KindName,
  ModelId,
  Ms,
  UpstreamId,
} from '../../base/index.js';
import type { MemberPhase } from '../member/index.js';
import type { Breaker } from './breaker.js';

/** What an entry knows of one upstream: from the document, its sidecar's records, and its answers. */
export interface UpstreamView {
  readonly id: UpstreamId;
  readonly sidecarAddress: string;
  readonly availabilityZone: string;
  readonly type: 'engine' | 'plain';
  /** Number of requests it can run concurrently while tokens keep their target pace. */
  readonly slots: number;
  /** For plain services: the kinds of request that its routes accept; empty if all. */
  readonly kinds: readonly KindName[];
  readonly phase: MemberPhase;
  readonly incarnation: Incarnation;
  /** False until its sidecar's first record arrives; until then its memory is unknown. */
  readonly recorded: boolean;
  readonly freeBytes: number;
  readonly residents: ReadonlyMap<
    ModelId,
    {
      readonly phase: 'loading' | 'ready' | 'unloading';
      readonly adapters: ReadonlySet<AdapterId>;
      /** When this entry first observed the phase. */
      readonly sinceMs: Ms;
    }
  >;
  /** Keys (see `loadKey`) that it has refused as absent since its last record. */
  readonly missing: ReadonlySet<string>;
  /** Requests of other entries at this upstream, as of its last load report. */
  readonly load?: {
    readonly othersCount: number;
    readonly reportedAtMs: Ms;
  };
  /** Requests of this entry in flight at this upstream. */
  readonly inFlight: number;
  readonly breaker: Breaker;
  /** Until when it takes no more requests, by kind of request. */
  readonly fullUntilMs: ReadonlyMap<KindName, Ms>;
}
