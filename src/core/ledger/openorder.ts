import type { Ms } from '../../base/index.js';
import type { Order } from '../../port/index.js';
import type { OrderPhase } from '../order/index.js';
import type { HoldingKey } from './holdingkey.js';

/** An order that may still change the engine's memory. A load keeps its reservation until it is resolved. */
export interface OpenOrder {
  readonly order: Order;
  /** Key that the order changes; undefined for a change of role. */
  readonly key: HoldingKey | undefined;
  readonly phase: OrderPhase;
  readonly openedAtMs: Ms;
  readonly lastSentAtMs: Ms;
  readonly sentCount: number;
}
