import type { Order } from '../../port/index.js';

/** An order before it has been named and fenced. */
export type OrderDraft = Omit<Order, 'orderId' | 'fencingToken'>;
