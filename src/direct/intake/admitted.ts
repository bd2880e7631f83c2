import type { CustomerSpec } from '../../core/access/index.js';
import type { Route } from '../../core/routetable/index.js';
import type { Caller } from '../caller.js';
import type { Charge } from '../quota/index.js';

/** A request that the configuration allows and whose first run is paid for. */
export interface Admitted {
  readonly caller: Caller;
  readonly route: Route;
  /** Absent on routes that need no key, and where none are configured. */
  readonly customer?: CustomerSpec;
  readonly charge: Charge;
}
