/** Connections to upstreams: each entry's own, and what the order lease holder lends to those that need more. */
export { ConnectionLedger } from './connectionledger.js';
export { ConnectionShares } from './connectionshares.js';
export type { ConnectionLoan } from './connectionloan.js';
export type { ConnectionNeed } from './connectionneed.js';
