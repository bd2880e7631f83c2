import type { Order } from '../../src/port/index.js';
import type { EngineRequest } from './enginestate.js';

/** What can happen to the stand-in engine. */
export type EngineEvent =
  | { readonly type: 'ask'; readonly request: EngineRequest }
  /** Takes up a kept answer: `made` tokens are already with the caller. */
  | { readonly type: 'resume'; readonly key: number }
  /** The caller has gone; what was made can be resumed. */
  | { readonly type: 'gone'; readonly key: number }
  | { readonly type: 'cancel'; readonly requestId: string }
  | { readonly type: 'import'; readonly request: EngineRequest }
  | { readonly type: 'order'; readonly order: Order }
  | { readonly type: 'loaded'; readonly order: Order }
  | { readonly type: 'changed'; readonly order: Order }
  | { readonly type: 'tick' }
  | { readonly type: 'crash' };
