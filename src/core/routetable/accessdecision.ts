import type { CustomerSpec } from '../access/index.js';
import type { Route } from './route.js';

/** Whether the configuration allows a request, and on behalf of which customer. */
export type AccessDecision =
  | {
      readonly type: 'allowed';
      readonly route: Route;
      /** Absent if no keys are configured, or if the route needs no key and the request has no known one. */
      readonly customer?: CustomerSpec;
    }
  | { readonly type: 'route-unknown' }
  | { readonly type: 'key-unknown' }
  /** The configuration known to this entry may be too old to decide. */
  | { readonly type: 'outdated' };
