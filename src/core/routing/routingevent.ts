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

/** An event that the routing core reacts to. */
export type RoutingEvent =
  /** The upstreams and models of the service document, at the start and after each change. */
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
  /** The request needs no upstream any more: its caller disconnected, or it was handled otherwise. */
  | { readonly type: 'abandoned'; readonly requestId: RequestId }
  /** A sidecar's answer to an on-demand load request; `reply` is absent if it did not answer. */
  | {
      readonly type: 'rescued';
      readonly target: Target;
      readonly upstream: UpstreamId;
      readonly reply?: RescueReply;
    }
  /** An event of an engine's prefix cache. `gap` means that events were lost. */
  | {
      readonly type: 'cached';
      readonly upstream: UpstreamId;
      readonly change: 'stored' | 'evicted' | 'gap';
      readonly prefixHash: string;
      readonly ageMs: Ms;
    }
  | { readonly type: 'tick' };
