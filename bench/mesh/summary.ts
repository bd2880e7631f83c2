const ROUND = 10;

/** Returns the median, 99th percentile and maximum of times in milliseconds, rounded to 0.1 ms. */
export function summary(times: readonly number[]): {
  readonly count: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly worstMs: number;
} {
  const sorted = [...times].sort((a, b) => a - b);
  const at = (share: number) => {
    const index = Math.min(sorted.length - 1, Math.ceil(sorted.length * share) - 1);
    return Math.round((sorted[index] ?? 0) * ROUND) / ROUND;
  };
  return { count: sorted.length, p50Ms: at(0.5), p99Ms: at(0.99), worstMs: at(1) };
}
