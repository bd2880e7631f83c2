import type { Ms } from '../../base/index.js';
import type { AdmissionState } from './admissionstate.js';
import { limitOf } from './limitof.js';
import { partLeft } from './partleft.js';

/** Long jobs of these lanes yield to all others. */
const BACKGROUND_LANE = 4;

/** What an estimate is made for. */
interface Candidate {
  readonly lane: number;
  readonly customer: string;
  /** Time until its deadline. */
  readonly remainingMs: Ms;
  /** Time that its kind allows from the offer. */
  readonly longestMs: Ms;
  /** Whether long jobs that yield are counted as places that it can have. */
  readonly yielding: boolean;
}

/** Places that work of this lane passes through. */
function places(state: AdmissionState, { lane, yielding }: Candidate): number {
  const held = yielding && lane < BACKGROUND_LANE ? 0 : state.longRunning;
  return Math.max(1, limitOf(state, lane) - held);
}

/** Time until a running request gives its place back, in the mean. */
function nextFreeMs(state: AdmissionState, { lane, yielding }: Candidate): Ms {
  if (state.running.size < limitOf(state, lane)) return 0;
  if (yielding && lane < BACKGROUND_LANE && state.longRunning > 0) return state.estimates.gapMs;
  return state.releaseRate > 0 ? 1 / state.releaseRate : 0;
}

/** Expected time until a request would start if it were offered now. */
export function expectWait(state: AdmissionState, candidate: Candidate, nowMs: Ms): Ms {
  const { lane, customer, remainingMs, longestMs } = candidate;
  let aheadMs = state.lanes[lane]!.aheadMs(customer, remainingMs, longestMs);
  for (let at = 0; at < lane; at += 1) aheadMs += state.lanes[at]!.queuedMs;
  const freeMs = nextFreeMs(state, candidate);
  if (freeMs === 0 && aheadMs === 0) return 0;
  return freeMs + aheadMs / places(state, candidate) / partLeft(state, lane, nowMs);
}
