import type { Ms } from '../../base/index.js';

/** Age of a report's content: what happened less than this before a report was requested may be missing from it. */
export const reportLagMs: Ms = 350;
