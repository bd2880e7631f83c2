/**
 * Distribution of bursts: for the share `part` of the time, demand is `factor` times its mean. Bursts end before a
 * load would, so a plan can only reserve capacity for them.
 */
const BURSTS = [
  { part: 0.5, factor: 0.7 },
  { part: 0.35, factor: 1.1 },
  { part: 0.15, factor: 2 },
];

/** Slot utilization up to which an upstream answers on time. */
const USABLE = 0.9;

/** Returns the share of requests that an upstream does not answer on time at this mean slot utilization. */
export function missedShare(use: number): number {
  let lost = 0;
  for (const { part, factor } of BURSTS) lost += part * Math.max(0, 1 - USABLE / (use * factor));
  return lost;
}
