import type { AdapterId, Incarnation, ModelId } from '../base/index.js';

/** An order to an engine: load or unload a model or adapter, or change its role. */
export interface Order {
  /** Idempotency key: an engine executes an order id at most once. */
  readonly orderId: string;
  /** Engines that check fencing tokens refuse an order with a lower token than one they have seen. */
  readonly fencingToken: Incarnation;
  readonly action: 'load-model' | 'unload-model' | 'load-adapter' | 'unload-adapter' | 'set-role';
  readonly model?: ModelId;
  readonly version?: string;
  readonly adapter?: AdapterId;
  readonly sizeBytes?: number;
  readonly role?: 'mixed' | 'prefill' | 'decode';
}
