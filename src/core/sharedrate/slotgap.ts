import type { Ms } from '../../base/index.js';
import { rateRules } from './raterules.js';

const MS_PER_S = 1000;

/**
 * Time between two slots of a rate. Slots lie evenly and unused time is not saved up, so that in no window more lie than
 * the rate allows in it and one more. An upstream that takes nothing is still asked now and then: else nobody would hear
 * of its limit's end.
 */
export function slotGapMs(perS: number): Ms {
  return MS_PER_S / Math.max(perS, rateRules.leastPerS);
}
