import type { Spread } from './spread.js';

const DIGITS = 10_000;

function round(value: number): number {
  return Math.round(value * DIGITS) / DIGITS;
}

/** Median and range. */
export function spreadOf(values: readonly number[]): Spread {
  const sorted = [...values].sort((a, b) => a - b);
  const median = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  return { median: round(median), least: round(sorted[0] ?? 0), most: round(sorted.at(-1) ?? 0) };
}
