import type { KeyValue, StoreFailure, SwapOutcome } from '../../port/index.js';
import type { Intent } from './intent.js';

/** Inputs of the fence: time, wanted intents, and results of store calls. */
export type FenceEvent =
  | { readonly type: 'tick' }
  | { readonly type: 'wanted'; readonly intents: readonly Intent[] }
  | { readonly type: 'read'; readonly item: KeyValue | undefined }
  | { readonly type: 'swapped'; readonly outcome: SwapOutcome }
  | { readonly type: 'store-failed'; readonly failure: StoreFailure };
