import { chartTransition } from '../chart/index.js';
import chart from './order.chart.json' with { type: 'json' };
import type { OrderEvent } from './orderevent.js';
import type { OrderPhase } from './orderphase.js';

/** Returns the phase of an order after an event, as defined in order.chart.json. */
export const nextPhase = chartTransition<OrderPhase, OrderEvent>(chart);
