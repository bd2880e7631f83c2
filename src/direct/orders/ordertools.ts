import type { Clock } from '../../base/index.js';
import type { Log, Metrics, UpstreamLink } from '../../port/index.js';
import type { TurnKeeper } from './turnkeeper.js';

/** What an order needs to leave. */
export interface OrderTools {
  readonly turn: TurnKeeper;
  readonly link: UpstreamLink;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly host: string;
}
