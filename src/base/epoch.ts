import type { Brand } from './brand.js';

/** One term of a planner lease. Higher is later. */
export type Epoch = Brand<number, 'Epoch'>;
