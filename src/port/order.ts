import type { AdapterId, Incarnation, ModelId } from '../base/index.js';

/** What an engine can be ordered to do. */
export interface Order {
  /** Names the order: an engine does an order with the same id at most once. */
  readonly orderId: string;
  /** The fencing token. An engine that checks refuses a lower one than it has seen. */
  readonly fencingToken: Incarnation;
  readonly action: 'load-model' | 'unload-model' | 'load-adapter' | 'unload-adapter' | 'set-role';
  readonly model?: ModelId;
  readonly version?: string;
  readonly adapter?: AdapterId;
  readonly sizeBytes?: number;
  readonly role?: 'mixed' | 'prefill' | 'decode';
}
