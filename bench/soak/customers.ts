import type { configurationOf } from '../../standin/platform/index.js';

type Choice = NonNullable<Parameters<typeof configurationOf>[3]>[number];

/** Number of rotating keys in a configuration: those of the newest versions. */
const ACTIVE_KEYS = 3;
/** Tokens of each request: the limit allows eight requests a second. */
const COST = 200;
const RATE_PER_S = 1600;
const SLACK = 800;
const WINDOW_S = 8;
const OVERSHOOT = 0.1;
/** Quota of the customers of the uneven load: several times what the servers can do, so that it refuses nothing. */
const LOAD_RATE_PER_S = 100_000;
const LOAD_NAMES = ['usual-0', 'usual-1', 'swelling'] as const;

function rotatingKey(version: number): string {
  return `changing-key-${version}`;
}

function loadKey(name: string): string {
  return `${name}-key`;
}

/**
 * Two customers. `steady` has no limit, one permanent key, and one rotating key for each configuration version, which
 * is removed three versions later. `tight` has a limit that its callers exceed several times over. The uneven load adds
 * three customers; the last of them sends several times its usual load at moments.
 */
export const customers = {
  cost: COST,
  activeKeys: ACTIVE_KEYS,
  /** Quota settings of the entries. */
  quotaSettings: { quotaWindowS: WINDOW_S, quotaOvershoot: OVERSHOOT, quotaSlack: SLACK },
  /** Most tokens of `tight` that may reach servers in one quota window. */
  maxTokensPerWindow: (RATE_PER_S * WINDOW_S + RATE_PER_S) * (1 + OVERSHOOT) + SLACK,
  windowMs: WINDOW_S * 1000,
  steadyKey: 'steady-key',
  tightKey: 'tight-key',
  rotatingKey,
  loadNames: LOAD_NAMES,
  loadKey,
  at(version: number, isUneven: boolean): readonly Choice[] {
    const rotating = Array.from({ length: ACTIVE_KEYS }, (_, at) => rotatingKey(version - at));
    const names = isUneven ? LOAD_NAMES : [];
    const rate = LOAD_RATE_PER_S;
    return [
      ...names.map((name) => ({ name, keys: [loadKey(name)], rate, burst: rate })),
      { name: 'steady', keys: ['steady-key', ...rotating] },
      { name: 'tight', keys: ['tight-key'], rate: RATE_PER_S, burst: RATE_PER_S },
    ];
  },
} as const;
