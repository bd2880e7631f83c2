/** The life cycle of an order to an engine. */
export { nextPhase } from './nextphase.js';
export type { OrderEvent } from './orderevent.js';
export type { OrderPhase } from './orderphase.js';
