import type { Order } from '../../port/index.js';

/** An order without its id and fencing token. */
export type OrderDraft = Omit<Order, 'orderId' | 'fencingToken'>;
