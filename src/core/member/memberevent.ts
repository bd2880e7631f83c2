import type { Incarnation, UpstreamId } from '../../base/index.js';

/** What an entry learns of upstreams' liveness, from three sources of differing worth. */
export type MemberEvent =
  /** A whole reading of the lagging host list. */
  | {
      readonly type: 'listed';
      readonly hosts: readonly {
        readonly upstream: UpstreamId;
        readonly state: 'live' | 'leaving';
      }[];
    }
  /** The sidecar's own record, from the board. */
  | {
      readonly type: 'recorded';
      readonly upstream: UpstreamId;
      readonly incarnation: Incarnation;
      readonly phase: string;
    }
  /** The sidecar answered a call, or refused it for a reason other than leaving. */
  | { readonly type: 'heard'; readonly upstream: UpstreamId }
  /** The sidecar refused a call because it is leaving. */
  | { readonly type: 'refused-leaving'; readonly upstream: UpstreamId }
  /** A call did not reach the sidecar, or its answer broke. */
  | { readonly type: 'failed'; readonly upstream: UpstreamId }
  | { readonly type: 'tick' };
