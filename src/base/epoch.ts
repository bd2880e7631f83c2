import type { Brand } from './brand.js';

/** Numbers the terms of the planner lease; a later term has a higher number. */
export type Epoch = Brand<number, 'Epoch'>;
