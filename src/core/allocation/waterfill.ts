/** An engine's load as a share of its slots, and how long work takes there as a factor of the usual time. */
interface Basin {
  readonly level: number;
  readonly pace: number;
}

/**
 * Distributes a load by water filling: the least loaded get it first, and all that get a share end at the same level.
 * A load of 1 takes as many engines' slots as the pace says. `basins` are sorted by ascending level. Returns that
 * common level.
 */
export function waterFill(load: number, basins: readonly Basin[]): number {
  let sum = 0;
  let width = 0;
  let level = 0;
  for (const { level: at, pace } of basins) {
    if (width > 0 && level <= at) break;
    width += 1 / pace;
    sum += at / pace;
    level = (sum + load) / width;
  }
  return level;
}
