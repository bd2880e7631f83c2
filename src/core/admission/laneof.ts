import type { Kind } from '../document/index.js';

const SHORT_LANE: Readonly<Record<Kind['priority'], number>> = {
  urgent: 0,
  normal: 2,
  background: 4,
};

/** Returns the lane of a kind of request as an index in `LANES`. Long jobs queue behind short ones. */
export function laneOf({ priority, longJob }: Pick<Kind, 'priority' | 'longJob'>): number {
  return SHORT_LANE[priority] + (longJob ? 1 : 0);
}
