import type { Incarnation, UpstreamId } from '../../base/index.js';

/** The upstream that the next attempt of a request is sent to. */
export interface Choice {
  readonly upstream: UpstreamId;
  readonly sidecarAddress: string;
  readonly incarnation: Incarnation;
}
