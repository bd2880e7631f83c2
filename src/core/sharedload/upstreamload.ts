import type { UpstreamId } from '../../base/index.js';

/** Requests at one upstream: those of one entry, or the sum over entries. */
export interface UpstreamLoad {
  readonly upstream: UpstreamId;
  readonly running: number;
}
