import type { Revision } from '../../base/index.js';
import type { KeyValue, StoreFailure } from '../../port/index.js';

/** Results of the effects that the shell executed. */
export type AcceptanceEvent =
  | { readonly type: 'start' }
  | { readonly type: 'read'; readonly item: KeyValue | undefined }
  | { readonly type: 'swapped'; readonly revision: Revision }
  | { readonly type: 'conflict'; readonly current: KeyValue | undefined }
  | { readonly type: 'failed'; readonly failure: StoreFailure }
  | { readonly type: 'waited' };
