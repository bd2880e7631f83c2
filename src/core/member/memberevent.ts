import type { Incarnation, UpstreamId } from '../../base/index.js';

/** Evidence of liveness from three sources: the host list, the sidecar's own record, and calls. */
export type MemberEvent =
  /** A complete reading of the host list, which may lag. */
  | {
      readonly type: 'listed';
      readonly hosts: readonly {
        readonly upstream: UpstreamId;
        readonly state: 'live' | 'leaving';
      }[];
    }
  /** The sidecar's own record, disseminated by the mesh. */
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
  /** A call did not reach the sidecar, or its answer broke off. */
  | { readonly type: 'failed'; readonly upstream: UpstreamId }
  | { readonly type: 'tick' };
