import type { Incarnation, UpstreamId } from '../../base/index.js';

/** The upstream that a request goes to next. */
export interface Choice {
  readonly upstream: UpstreamId;
  readonly sidecarAddress: string;
  readonly incarnation: Incarnation;
}
