import type { StoreFailure } from '../../src/port/index.js';

/** An error answer of the gateway. */
interface GatewayStatus {
  readonly status: number;
  readonly code: number;
  readonly message: string;
}

/** The gateway's error answer for each failure. `store-outcome-unknown` has none: its answer is lost. */
export const gatewayStatus: Readonly<Partial<Record<StoreFailure['type'], GatewayStatus>>> = {
  'store-unavailable': { status: 503, code: 14, message: 'etcdserver: no leader' },
  'store-rate-limited': { status: 429, code: 8, message: 'etcdserver: too many requests' },
  'store-lease-lapsed': { status: 404, code: 5, message: 'etcdserver: requested lease not found' },
  'store-refused': { status: 400, code: 3, message: 'etcdserver: request is too large' },
};
