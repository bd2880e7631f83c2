import { defaultCurve } from '../../standin/index.js';
import type { WorkloadRequest } from './workloadrequest.js';
import { capacityPerMs, costMs } from './cost.js';
import type { Deployment } from './deployment.js';

const WINDOW_MS = 60_000;
const PACE_GOAL_MS = 53;

interface WorkItem {
  readonly weight: number;
  readonly costMs: number;
}

/** Returns the highest weight that fits into the capacity if requests may be split. */
function maxWeight(items: readonly WorkItem[], capacityMs: number): number {
  let left = capacityMs;
  let weight = 0;
  for (const item of [...items].sort((a, b) => b.weight / b.costMs - a.weight / a.costMs)) {
    if (item.costMs > left) return weight + (item.weight * left) / item.costMs;
    left -= item.costMs;
    weight += item.weight;
  }
  return weight;
}

function workItemOf(ask: WorkloadRequest): WorkItem {
  return { weight: ask.kind.weight, costMs: Math.max(0.001, costMs(defaultCurve, ask)) };
}

/** Returns how long the work of a window may continue after it: until its last request is due. */
function overrunMs(requests: readonly WorkloadRequest[]): number {
  let longest = 0;
  for (const { kind, outputTokens } of requests) {
    if (!kind.longJob) longest = Math.max(longest, kind.deadlineMs + PACE_GOAL_MS * outputTokens);
  }
  return longest;
}

/**
 * Weight that no policy can exceed, even if it knows all requests in advance, moves models at no cost, finds
 * every shared prefix in the cache and may split requests: for the whole run, and per minute for short requests.
 */
function clairvoyant(
  requests: readonly WorkloadRequest[],
  slotsPerMs: number,
  durationMs: number,
): number {
  const short = requests.filter(({ kind }) => !kind.longJob);
  const long = requests.filter(({ kind }) => kind.longJob);
  const longestMs = Math.max(0, ...requests.map(({ kind }) => kind.deadlineMs));
  const wholeMs = slotsPerMs * (durationMs + longestMs + overrunMs(requests));
  const whole = maxWeight(requests.map(workItemOf), wholeMs);
  let windows = 0;
  for (let fromMs = 0; fromMs < durationMs; fromMs += WINDOW_MS) {
    const inWindow = short.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + WINDOW_MS);
    windows += maxWeight(inWindow.map(workItemOf), slotsPerMs * (WINDOW_MS + overrunMs(inWindow)));
  }
  const longWeight = long.reduce((sum, { kind }) => sum + kind.weight, 0);
  return Math.min(whole, windows + longWeight);
}

/** Returns upper bounds on the attained weight of one workload. */
export function bound(
  { document }: Deployment,
  requests: readonly WorkloadRequest[],
  durationMs: number,
) {
  const count = (type: 'engine' | 'plain', places: (slots: number) => number) =>
    document.groups
      .filter((group) => group.type === type)
      .reduce((sum, { slots, upstreams }) => sum + upstreams.length * places(slots), 0);
  const engineRequests = requests.filter(({ model }) => model);
  const plainRequests = requests.filter(({ model }) => !model);
  const plain = clairvoyant(
    plainRequests,
    count('plain', (slots) => slots),
    durationMs,
  );
  const engines = count('engine', () => 1);
  const paced = engines * capacityPerMs(defaultCurve);
  return {
    /** Engines are always busy and may exceed the token pace. */
    clairvoyant: plain + clairvoyant(engineRequests, engines, durationMs),
    /** Engines keep the token pace on average and no work continues after the run. Not a strict bound. */
    atPace: plain + maxWeight(engineRequests.map(workItemOf), paced * durationMs),
  };
}
