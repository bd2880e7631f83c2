import type { Incarnation, Ms, RequestId, UpstreamId } from '../../base/index.js';
import type { Refusal } from '../../wire/index.js';
import type { Target } from '../document/index.js';

/** What the routing core asks of its shell. */
export type RoutingEffect =
  | {
      readonly type: 'choose';
      readonly requestId: RequestId;
      readonly upstream: UpstreamId;
      readonly sidecarAddress: string;
      readonly incarnation: Incarnation;
    }
  | { readonly type: 'refuse'; readonly requestId: RequestId; readonly refusal: Refusal }
  | {
      readonly type: 'rescue';
      readonly upstream: UpstreamId;
      readonly sidecarAddress: string;
      readonly target: Target;
      readonly deadlineMs: Ms;
      /** Whether models that are nowhere else may make way. */
      readonly sharing: boolean;
    };
