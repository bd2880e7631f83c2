import type { CallerKey } from './callerkey.js';
import { customers } from './customers.js';
import type { Dice } from './dice.js';

/** Rotating keys are drawn from this many versions, so some were removed seconds ago. */
const DRAWN_VERSIONS = customers.activeKeys + 8;

const KINDS: Readonly<Record<string, (version: number, dice: Dice) => CallerKey>> = {
  steady: () => ({ key: customers.steadyKey, customer: 'steady', version: undefined }),
  tight: () => ({ key: customers.tightKey, customer: 'tight', version: undefined }),
  rotating: (newest, dice) => {
    const version = Math.max(1, newest - dice.below(DRAWN_VERSIONS));
    return { key: customers.rotatingKey(version), customer: 'steady', version };
  },
  unknown: () => ({ key: 'nobody-has-this', customer: undefined, version: undefined }),
  none: () => ({ key: undefined, customer: undefined, version: undefined }),
};
/** Weighted by repetition, so that the limited customer sends several times its limit. */
const WEIGHTED_KINDS = [
  'steady',
  'steady',
  'tight',
  'tight',
  'tight',
  'rotating',
  'rotating',
  'unknown',
];
/** One in this many calls has no key. */
const NO_KEY_ONE_IN = 12;

/** Returns a random key for one call. */
export function randomKey(newest: number, dice: Dice): CallerKey {
  const kind = dice.below(NO_KEY_ONE_IN) === 0 ? 'none' : dice.pick(WEIGHTED_KINDS);
  return KINDS[kind]!(newest, dice);
}
