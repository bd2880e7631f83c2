import type { Crash } from './crash.js';
import type { Suspect } from './suspect.js';

/** The crashes that speak against a request. */
export function countedCrashes({ crashes }: Pick<Suspect, 'crashes'>): readonly Crash[] {
  return crashes.filter(({ state }) => state === 'open' || state === 'ended');
}
