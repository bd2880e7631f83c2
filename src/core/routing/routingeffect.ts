import type { Incarnation, Ms, RequestId, UpstreamId } from '../../base/index.js';
import type { Refusal } from '../../wire/index.js';
import type { Target } from '../document/index.js';

/** An action that the routing core asks its caller to perform. */
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
      /** True if models without another replica may be unloaded to make room. */
      readonly sharing: boolean;
    };
