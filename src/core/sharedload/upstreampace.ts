import type { UpstreamId } from '../../base/index.js';

/** How long work takes at one upstream on average, in percent of the usual time. */
export interface UpstreamPace {
  readonly upstream: UpstreamId;
  readonly percent: number;
}
