import type { Ms } from '../../base/index.js';
import { rateRules } from './raterules.js';

const MS_PER_S = 1000;

/**
 * Returns the time between two slots of a rate. Slots are evenly spaced and unused ones are not saved up, so that no
 * window contains more than one slot above the rate. An upstream with a limit of zero still gets a request now and
 * then, because otherwise no entry would learn when the limit ends.
 */
export function slotIntervalMs(perS: number): Ms {
  return MS_PER_S / Math.max(perS, rateRules.minPerS);
}
