import type { UpstreamId } from '../../base/index.js';

/** One upstream: where it is, and where its sidecar is. Addresses are IP number and port. */
export interface Upstream {
  readonly id: UpstreamId;
  readonly sidecarAddress: string;
}
