import type { Crash } from './crash.js';
import type { Suspect } from './suspect.js';

/** Returns the crashes that count as evidence against a suspect. */
export function countedCrashes({ crashes }: Pick<Suspect, 'crashes'>): readonly Crash[] {
  return crashes.filter(({ state }) => state === 'open' || state === 'ended');
}
