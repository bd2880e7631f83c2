/**
 * Shares a load out so that the emptiest vessels are filled first and all that get some of it are level. `levels` are
 * sorted, the lowest first; the answer is the common level of those that get some.
 */
export function pour(load: number, levels: readonly number[]): number {
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
