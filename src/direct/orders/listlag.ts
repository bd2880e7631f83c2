import type { Ms } from '../../base/index.js';

/** Own orders are in the list after this: an interval between an upstream's entries, and the list's lag. */
export const listLagMs: Ms = 3000;
