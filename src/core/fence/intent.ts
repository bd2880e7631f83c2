import type { Order } from '../../port/index.js';

/** An order that may have been sent. It is written to the store before it is sent. */
export interface Intent {
  readonly order: Order;
  /** How often it may have been sent; each attempt is written to the store before it is sent. */
  readonly attempt: number;
}
