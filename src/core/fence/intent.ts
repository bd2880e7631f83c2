import type { Order } from '../../port/index.js';

/** An order that may have left. */
export interface Intent {
  readonly order: Order;
  /** Times that it may have been sent: each further attempt is written before it leaves. */
  readonly attempt: number;
}
