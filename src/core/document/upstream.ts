import type { UpstreamId } from '../../base/index.js';

/** One upstream and the address (IP address and port) of its sidecar. */
export interface Upstream {
  readonly id: UpstreamId;
  readonly sidecarAddress: string;
}
