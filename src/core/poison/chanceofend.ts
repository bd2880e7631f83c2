import type { Ms } from '../../base/index.js';
import { poisonRules } from './poisonrules.js';

/** What tells how common ends of upstreams are. */
interface Ends {
  /** Upstreams of the service. */
  readonly upstreamCount: number;
  /** Other upstreams of the service that ended without a word in the window. */
  readonly recentEnds: number;
}

/** How probable it is that an upstream ends within a run of this length without the request's doing. */
export function chanceOfEnd(runMs: Ms, { upstreamCount, recentEnds }: Ends): number {
  const { windowMs, priorEnds, leastChance } = poisonRules;
  const endsPerMs = (recentEnds + priorEnds) / (Math.max(1, upstreamCount) * windowMs);
  return Math.max(leastChance, 1 - Math.exp(-endsPerMs * Math.max(0, runMs)));
}
