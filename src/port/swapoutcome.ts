import type { Revision } from '../base/index.js';
import type { KeyValue } from './keyvalue.js';

/** Outcome of a compare-and-swap that the store answered. */
export type SwapOutcome =
  | { readonly type: 'swapped'; readonly revision: Revision }
  | { readonly type: 'conflict'; readonly current: KeyValue | undefined };
