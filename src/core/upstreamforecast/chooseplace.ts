import type { Ms } from '../../base/index.js';
import type { Candidate } from './candidate.js';
import { upstreamForecastRules } from './upstreamforecastrules.js';

/** A request and the upstreams that it may be sent to. */
interface Choice<C extends Candidate> {
  /** Reused from choice to choice: only the first `count` are candidates. */
  readonly candidates: readonly C[];
  readonly count: number;
  /** Time within which the first event is on time. */
  readonly targetMs: Ms;
}

/** Groups of candidates, the best first; one is chosen from the first group that is not empty. */
const ON_TIME = 0;
/** The request would wait for other prompts. */
const PREFILLING = 1;
const LATE = 2;
/** It has a free slot, but fails so often that none counts. */
const FAILING = 3;
/** It has no free slot. */
const QUEUED = 4;
const LAST_RESORT = 5;

const SEED_RANGE = 2 ** 32;

function groupOf(candidate: Candidate, targetMs: Ms): number {
  const { risk, freePlaces, firstMs, nextFreeMs, isPrefilling } = candidate;
  if (risk > 0) return LAST_RESORT;
  if (freePlaces <= 0) return nextFreeMs === 0 ? FAILING : QUEUED;
  if (firstMs > targetMs) return LATE;
  return isPrefilling ? PREFILLING : ON_TIME;
}

/**
 * Returns the weight of a candidate in its group. Free slots count squared, so that emptier upstreams are preferred
 * without all entries taking the emptiest, and by the pace at which they serve; if the request is late anyway, by the
 * first event. Without free slots the soonest upstream is preferred, but not by all: in a simulation of four plain
 * servers at 1.7 times their capacity, 4.3% more answers are on time than if every entry takes the soonest.
 */
function weightOf(candidate: Candidate, group: number): number {
  const { freePlaces, pace, firstMs, isOwnZone } = candidate;
  const zone = isOwnZone ? upstreamForecastRules.ownZoneFactor : 1;
  if (group < LATE) return (zone * freePlaces * freePlaces) / pace;
  const soonness = zone / Math.max(1, firstMs);
  if (group === LATE) return freePlaces * soonness;
  return group === FAILING ? soonness : soonness / Math.max(1, firstMs);
}

/** Returns true if `a` is to be preferred although neither may be sampled. */
function isBefore(a: Candidate, b: Candidate): boolean {
  return a.risk < b.risk || (a.risk === b.risk && a.firstMs < b.firstMs);
}

function soonest<C extends Candidate>({ candidates, count }: Choice<C>): C | undefined {
  if (count === 0) return undefined;
  let best = candidates[0]!;
  for (let at = 1; at < count; at += 1) {
    if (isBefore(candidates[at]!, best)) best = candidates[at]!;
  }
  return best;
}

/**
 * Chooses an upstream by weighted sampling among those with a free slot, first among those that keep the target
 * latency. Entries with the same, slightly old information thus use free slots in proportion to their number; if each
 * took the best upstream, all would take the same one until the next report. Avoided upstreams are not
 * sampled: if all are, the one with the soonest first event is chosen. `seed` is an integer from 0 to 2^32 - 1, uniform over requests.
 */
export function choosePlace<C extends Candidate>(choice: Choice<C>, seed: number): C | undefined {
  const { candidates, count, targetMs } = choice;
  let group = LAST_RESORT;
  let total = 0;
  for (let at = 0; at < count; at += 1) {
    const candidate = candidates[at]!;
    const own = groupOf(candidate, targetMs);
    if (own === LAST_RESORT || own > group) continue;
    if (own < group) total = 0;
    group = own;
    total += weightOf(candidate, own);
  }
  if (group === LAST_RESORT) return soonest(choice);
  let rest = (seed / SEED_RANGE) * total;
  let last: C | undefined;
  for (let at = 0; at < count; at += 1) {
    const candidate = candidates[at]!;
    if (groupOf(candidate, targetMs) !== group) continue;
    last = candidate;
    rest -= weightOf(candidate, group);
    if (rest < 0) break;
  }
  return last;
}
