import type { configurationOf } from '../../standin/platform/index.js';

type Choice = NonNullable<Parameters<typeof configurationOf>[3]>[number];

/** How many of the newest changing keys a configuration has. */
const KEPT_KEYS = 3;
/** Tokens of each request: an eighth of a second of the limit. */
const COST = 200;
const RATE_PER_S = 1600;
const SLACK = 800;
const WINDOW_S = 8;
const OVERSHOOT = 0.1;

function changingKey(version: number): string {
  return `changing-key-${version}`;
}

/**
 * Two customers: `steady` has no limit, a key that stays and one that comes with each version and goes three versions
 * later; `tight` has a limit that its callers pass several times.
 */
export const customers = {
  cost: COST,
  keptKeys: KEPT_KEYS,
  /** Bounds of the quota, as entries have them in their settings. */
  terms: { quotaWindowS: WINDOW_S, quotaOvershoot: OVERSHOOT, quotaSlack: SLACK },
  /** Most tokens of `tight` that may arrive in one window. */
  mostInWindow: (RATE_PER_S * WINDOW_S + RATE_PER_S) * (1 + OVERSHOOT) + SLACK,
  windowMs: WINDOW_S * 1000,
  steadyKey: 'steady-key',
  tightKey: 'tight-key',
  changingKey,
  at(version: number): readonly Choice[] {
    const changing = Array.from({ length: KEPT_KEYS }, (_, at) => changingKey(version - at));
    return [
      { name: 'steady', keys: ['steady-key', ...changing] },
      { name: 'tight', keys: ['tight-key'], rate: RATE_PER_S, burst: RATE_PER_S },
    ];
  },
} as const;
