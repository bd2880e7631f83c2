import type { Ms } from '../../base/index.js';
import { poisonRules } from './poisonrules.js';

/** How often upstreams of a service have crashed lately. */
interface CrashHistory {
  /** Upstreams of the service. */
  readonly upstreamCount: number;
  /** Other upstreams of the service that crashed within the window. */
  readonly recentCrashes: number;
}

/** Returns the probability that an upstream crashes during a run of this length for a reason other than the request. */
export function crashProbability(
  runMs: Ms,
  { upstreamCount, recentCrashes }: CrashHistory,
): number {
  const { windowMs, priorCrashes, minProbability } = poisonRules;
  const crashesPerMs = (recentCrashes + priorCrashes) / (Math.max(1, upstreamCount) * windowMs);
  return Math.max(minProbability, 1 - Math.exp(-crashesPerMs * Math.max(0, runMs)));
}
