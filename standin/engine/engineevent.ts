import type { Order } from '../../src/port/index.js';
import type { EngineRequest } from './enginestate.js';

/** Events that the stand-in engine handles. */
export type EngineEvent =
  | { readonly type: 'ask'; readonly request: EngineRequest }
  /** Resumes a kept answer; the caller already has its first `made` tokens. */
  | { readonly type: 'resume'; readonly key: number }
  /** The caller has disconnected; the answer can be resumed. */
  | { readonly type: 'gone'; readonly key: number }
  | { readonly type: 'cancel'; readonly requestId: string }
  | { readonly type: 'import'; readonly request: EngineRequest }
  | { readonly type: 'order'; readonly order: Order }
  | { readonly type: 'loaded'; readonly order: Order }
  | { readonly type: 'changed'; readonly order: Order }
  | { readonly type: 'tick' }
  | { readonly type: 'crash' };
