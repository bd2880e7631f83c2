import type { Clock, ServiceId } from '../../base/index.js';
import type { ServiceSpec } from '../../core/routetable/index.js';
import type { Log, Metrics, UpstreamLink } from '../../port/index.js';
import type { OrderLeaseKeeper } from './orderleasekeeper.js';

/** What sending an order requires. */
export interface OrderContext {
  readonly lease: OrderLeaseKeeper;
  readonly link: UpstreamLink;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly host: string;
  /** Returns the engine settings in force for a service; undefined if it has none. */
  readonly engineOf: (service: ServiceId) => ServiceSpec['engine'];
  /** True if a service is served load-aware; absent: none is. */
  readonly isLoadAware?: ((service: ServiceId) => boolean) | undefined;
}
