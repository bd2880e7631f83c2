import type { UpstreamId } from '../../base/index.js';
import type { Refusal, UpstreamLoad } from '../../wire/index.js';
import type { Want } from './want.js';

/** What became of one attempt; the router learns load and health from it. */
export interface Outcome {
  readonly upstream: UpstreamId;
  readonly want: Want;
  /** `cancelled` says nothing of the upstream: its caller left, or it was not asked after all. */
  readonly type: 'answered' | 'refused' | 'broken' | 'unreachable' | 'cancelled';
  readonly firstTokenMs?: number;
  readonly load?: UpstreamLoad;
  readonly refusal?: Refusal;
}
