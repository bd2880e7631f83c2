import type { Revision } from '../base/index.js';
import type { KeyValue } from './keyvalue.js';
import type { StoreFailure } from './storefailure.js';

/** Event of a watch. After `ended` the watch is closed and has to be opened again. */
export type WatchEvent =
  | { readonly type: 'put'; readonly item: KeyValue }
  | { readonly type: 'deleted'; readonly key: string; readonly revision: Revision }
  | { readonly type: 'ended'; readonly failure: StoreFailure };
