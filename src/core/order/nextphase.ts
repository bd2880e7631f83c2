import { follow } from '../chart/index.js';
import chart from './order.chart.json' with { type: 'json' };
import type { OrderEvent } from './orderevent.js';
import type { OrderPhase } from './orderphase.js';

/** The phase of an order after an event, by order.chart.json. */
export const nextPhase = follow<OrderPhase, OrderEvent>(chart);
