import type { MakePlacement } from '../placementpolicy.js';
import { pack } from './pack.js';
import { popularityOf } from '../popularity.js';

/** Keeps the initial placement for the whole run. */
export const staticPlacement: MakePlacement = (deployment, seed) => ({
  intervalMs: Infinity,
  start: (view) => pack(deployment, popularityOf(deployment, seed), view),
  plan: () => [],
  missing: () => [],
});
