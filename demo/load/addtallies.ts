import type { Tally } from './tally.js';

function addReasons(left: Tally['reasons'], right: Tally['reasons']): Tally['reasons'] {
  const sums: Record<string, number> = { ...left };
  for (const [reason, count] of Object.entries(right)) sums[reason] = (sums[reason] ?? 0) + count;
  return sums;
}

/** Adds the counts of two loads. */
export function addTallies(left: Tally, right: Tally): Tally {
  const entries = Object.entries(left).map(([name, value]) => {
    if (name === 'reasons') return [name, addReasons(left.reasons, right.reasons)];
    return [name, (value as number) + (right[name as keyof Tally] as number)];
  });
  return Object.fromEntries(entries);
}
