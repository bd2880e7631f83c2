import type { CallerKey } from './callerkey.js';
import { customers } from './customers.js';
import type { Dice } from './dice.js';

/** Also keys that went some seconds ago. */
const OLD_KEYS = customers.keptKeys + 8;

const KINDS: Readonly<Record<string, (version: number, dice: Dice) => CallerKey>> = {
  steady: () => ({ key: customers.steadyKey, customer: 'steady', version: undefined }),
  tight: () => ({ key: customers.tightKey, customer: 'tight', version: undefined }),
  changing: (newest, dice) => {
    const version = Math.max(1, newest - dice.below(OLD_KEYS));
    return { key: customers.changingKey(version), customer: 'steady', version };
  },
  unknown: () => ({ key: 'nobody-has-this', customer: undefined, version: undefined }),
  none: () => ({ key: undefined, customer: undefined, version: undefined }),
};
/** How often each kind is taken: the limited customer sends several times its limit. */
const DRAWN = ['steady', 'steady', 'tight', 'tight', 'tight', 'changing', 'changing', 'unknown'];
const NONE_IN = 12;

/** Draws the key of one call. */
export function pickKey(newest: number, dice: Dice): CallerKey {
  const kind = dice.below(NONE_IN) === 0 ? 'none' : dice.pick(DRAWN);
  return KINDS[kind]!(newest, dice);
}
