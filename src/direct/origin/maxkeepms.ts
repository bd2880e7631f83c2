import type { Ms } from '../../base/index.js';

/** Longest time for which the origin of a stream is kept, whatever a record or a message says. */
export const maxKeepMs: Ms = 600_000;
