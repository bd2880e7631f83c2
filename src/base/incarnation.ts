import type { Brand } from './brand.js';

/** Numbers the runs of a sidecar process and serves as its fencing token; a later run has a higher number. */
export type Incarnation = Brand<number, 'Incarnation'>;
