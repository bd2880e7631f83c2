import type { Ms } from '../../base/index.js';

/** After this the list shows the effect of own orders: an upstream's write interval plus the list's lag. */
export const listLagMs: Ms = 3000;
