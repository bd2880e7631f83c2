/**
 * How requests bunch: for a part of the time, demand is so many times its mean. Bursts are over before
 * a load is, so a plan can only leave room for them.
 */
const BURSTS = [
  { part: 0.5, factor: 0.7 },
  { part: 0.35, factor: 1.1 },
  { part: 0.15, factor: 2 },
];

/** Use of its slots up to which an upstream answers in time. */
const USABLE = 0.9;

/** Part of the requests that an upstream at this mean use of its slots does not answer in time. */
export function lostShare(use: number): number {
  let lost = 0;
  for (const { part, factor } of BURSTS) lost += part * Math.max(0, 1 - USABLE / (use * factor));
  return lost;
}
