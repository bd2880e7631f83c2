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
  /** Requests that it runs at once without missing its token pace. */
  readonly slots: number;
  /** Kinds that its routes name; for plain services. */
  readonly kinds: readonly KindName[];
  readonly phase: MemberPhase;
  readonly incarnation: Incarnation;
  /** False until its sidecar's first record has come: then nothing is known of its memory. */
  readonly recorded: boolean;
  readonly freeBytes: number;
  readonly residents: ReadonlyMap<
    ModelId,
    {
      readonly phase: 'loading' | 'ready' | 'unloading';
      readonly adapters: ReadonlySet<AdapterId>;
      /** When this phase was first seen here. */
      readonly sinceMs: Ms;
    }
  >;
  /** What it has refused as absent since its last record: see `loadKey`. */
  readonly missing: ReadonlySet<string>;
  /** Work of others at this upstream when it last told its load. */
  readonly load?: {
    readonly othersCount: number;
    readonly reportedAtMs: Ms;
  };
  /** Requests of this entry that are there now. */
  readonly inFlight: number;
  readonly breaker: Breaker;
  /** Until when it has refused more work, for each kind of request. */
  readonly fullUntilMs: ReadonlyMap<KindName, Ms>;
}
