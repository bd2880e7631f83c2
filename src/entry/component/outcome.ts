import type { UpstreamId } from '../../base/index.js';
import type { Refusal, UpstreamLoad } from '../../wire/index.js';
import type { RouteRequest } from './routerequest.js';

/** How one attempt ended; the router derives load and health of the upstream from it. */
export interface Outcome {
  readonly upstream: UpstreamId;
  readonly request: RouteRequest;
  /** `cancelled` implies nothing about the upstream: the caller left, or the request was not sent after all. */
  readonly type: 'answered' | 'refused' | 'broken' | 'unreachable' | 'cancelled';
  readonly firstTokenMs?: number;
  readonly load?: UpstreamLoad;
  readonly refusal?: Refusal;
}
