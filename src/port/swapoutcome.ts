import type { Revision } from '../base/index.js';
import type { KeyValue } from './keyvalue.js';

/** What a compare-and-swap did, when its answer arrived. */
export type SwapOutcome =
  | { readonly type: 'swapped'; readonly revision: Revision }
  | { readonly type: 'conflict'; readonly current: KeyValue | undefined };
