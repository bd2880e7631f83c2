import type { Conviction } from './conviction.js';
import { countedCrashes } from './countedcrashes.js';
import type { Crash } from './crash.js';
import type { Suspect } from './suspect.js';

/** Returns the crashes that count against a suspect and that no convicted trait explains. */
export function unexplainedCrashes(
  suspect: Pick<Suspect, 'crashes'>,
  convictions: readonly Conviction[],
): readonly Crash[] {
  return countedCrashes(suspect).filter(
    ({ upstream }) => !convictions.some(({ upstreams }) => upstreams.has(upstream)),
  );
}
