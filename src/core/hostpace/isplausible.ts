/** Figures outside this range are not plausible: no host is a hundred times slower than usual and still answers. */
const MIN_PERCENT = 10;
const MAX_PERCENT = 1000;

/** Returns true if a pace in percent can be used; false also for NaN. */
export function isPlausible(percent: number): boolean {
  return percent >= MIN_PERCENT && percent <= MAX_PERCENT;
}
