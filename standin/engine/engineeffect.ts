import type { Order } from '../../src/port/index.js';

/** Effects that the stand-in engine's HTTP shell carries out. */
export type EngineEffect =
  | { readonly type: 'refused'; readonly key: number; readonly reason: 'model-not-loaded' }
  /** The request has entered a batch for the first time. */
  | { readonly type: 'began'; readonly requestId: string }
  | { readonly type: 'token'; readonly key: number; readonly index: number; readonly text: string }
  | { readonly type: 'finished'; readonly key: number }
  | { readonly type: 'cut'; readonly key: number }
  | { readonly type: 'load'; readonly order: Order; readonly sizeBytes: number }
  /** Causes the event `changed` with this order after `afterMs`. */
  | { readonly type: 'change'; readonly order: Order; readonly afterMs: number }
  | { readonly type: 'order-taken' }
  | { readonly type: 'order-fenced' }
  | { readonly type: 'order-refused'; readonly reason: string }
  | { readonly type: 'overcommitted'; readonly detail: string };
