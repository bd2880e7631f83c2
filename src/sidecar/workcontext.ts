import type { Clock } from '../base/index.js';
import type { Log, Metrics } from '../port/index.js';
import type { Parts } from './parts.js';
import type { UpstreamCall } from './upstreamcall.js';

/** Dependencies of `Work`. */
export interface WorkContext {
  readonly call: UpstreamCall;
  readonly parts: Parts;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
}
