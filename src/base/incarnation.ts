import type { Brand } from './brand.js';

/** One life of a sidecar; also its fencing token. Higher is later. */
export type Incarnation = Brand<number, 'Incarnation'>;
