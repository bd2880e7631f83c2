/**
 * Distributes a load by water filling: the least loaded get it first, and all that get a share end at the same level.
 * `levels` are sorted ascending. Returns that common level.
 */
export function waterFill(load: number, levels: readonly number[]): number {
  let sum = 0;
  let count = 0;
  let level = 0;
  for (const at of levels) {
    if (count > 0 && level <= at) break;
    count += 1;
    sum += at;
    level = (sum + load) / count;
  }
  return level;
}
