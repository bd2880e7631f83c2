import type { Kind } from '../document/index.js';

const SHORT: Readonly<Record<Kind['priority'], number>> = { urgent: 0, normal: 2, background: 4 };

/** The lane in which a request waits: its index in `LANES`. Long jobs wait behind the short ones. */
export function laneOf({ priority, longJob }: Pick<Kind, 'priority' | 'longJob'>): number {
  return SHORT[priority] + (longJob ? 1 : 0);
}
