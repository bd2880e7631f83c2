import type {
  Incarnation,
  KindName,
  ModelId,
  Ms,
  RequestId,
  UpstreamId,
} from '../../base/index.js';
import type { Refusal, RescueReply, UpstreamLoad, UpstreamRecord } from '../../wire/index.js';
import type { Target } from '../document/index.js';
import type { MemberPhase } from '../member/index.js';
import type { RouteWant } from './routewant.js';

/** What the routing core is told. */
export type RoutingEvent =
  /** The service's document, at the start and after each change. */
  | {
      readonly type: 'declared';
      readonly upstreams: readonly {
        readonly id: UpstreamId;
        readonly sidecarAddress: string;
        readonly availabilityZone: string;
        readonly type: 'engine' | 'plain';
        readonly slots: number;
        readonly kinds: readonly KindName[];
      }[];
      readonly models: readonly { readonly id: ModelId; readonly sizeBytes: number }[];
    }
  | { readonly type: 'recorded'; readonly record: UpstreamRecord }
  | {
      readonly type: 'member';
      readonly upstream: UpstreamId;
      readonly phase: MemberPhase;
      readonly incarnation: Incarnation;
    }
  | { readonly type: 'want'; readonly want: RouteWant }
  | {
      readonly type: 'outcome';
      readonly requestId: RequestId;
      readonly upstream: UpstreamId;
      readonly target: Target;
      readonly prefixHash: string;
      readonly end: 'answered' | 'refused' | 'broken' | 'unreachable' | 'cancelled';
      readonly load?: UpstreamLoad;
      readonly refusal?: Refusal;
    }
  /** The request needs no upstream any more: its caller has gone, or it went another way. */
  | { readonly type: 'abandoned'; readonly requestId: RequestId }
  /** A sidecar's answer to a request for a load; absent if it did not answer. */
  | {
      readonly type: 'rescued';
      readonly target: Target;
      readonly upstream: UpstreamId;
      readonly reply?: RescueReply;
    }
  /** What is heard of an engine's prefix cache. `gap` tells that events were lost. */
  | {
      readonly type: 'cached';
      readonly upstream: UpstreamId;
      readonly change: 'stored' | 'evicted' | 'gap';
      readonly prefixHash: string;
      readonly ageMs: Ms;
    }
  | { readonly type: 'tick' };
