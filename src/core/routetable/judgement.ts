import type { CustomerSpec } from '../access/index.js';
import type { Route } from './route.js';

/** Whether a configuration lets a request through, and as whose. */
export type Judgement =
  | {
      readonly type: 'allowed';
      readonly route: Route;
      /** Absent where the route needs no key and none that is known came, or there are no keys at all. */
      readonly customer?: CustomerSpec;
    }
  | { readonly type: 'route-unknown' }
  | { readonly type: 'key-unknown' }
  /** The configuration that is known here may be too old to say. */
  | { readonly type: 'outdated' };
