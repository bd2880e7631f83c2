import type { Kind } from '../document/index.js';

const RANKS: Readonly<Record<Kind['priority'], number>> = { urgent: 0, normal: 1, background: 2 };

/** A kind's lane: lower ones go first; long jobs wait behind the short requests of their priority. */
export function laneOf({ priority, longJob }: Pick<Kind, 'priority' | 'longJob'>): number {
  return RANKS[priority] * 2 + (longJob ? 1 : 0);
}
