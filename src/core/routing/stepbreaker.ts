import type { Ms } from '../../base/index.js';
import { chartTransition } from '../chart/index.js';
import chart from './breaker.chart.json' with { type: 'json' };
import type { Breaker } from './breaker.js';

type ChartEvent = 'TRIPPED' | 'COOLED' | 'SUCCEEDED';

const FAILURES_TO_TRIP = 3;
const FIRST_COOL_MS = 1_000;
const LONGEST_COOL_MS = 30_000;

const next = chartTransition<Breaker['phase'], ChartEvent>(chart);

function succeeded(breaker: Breaker): Breaker {
  if (breaker.phase === 'closed' && breaker.failures === 0) return breaker;
  const phase = next(breaker.phase, 'SUCCEEDED');
  return { ...breaker, phase, failures: 0, coolMs: FIRST_COOL_MS };
}

function failed(breaker: Breaker, nowMs: Ms): Breaker {
  const failures = breaker.failures + 1;
  if (breaker.phase === 'open') return { ...breaker, failures };
  if (breaker.phase === 'closed' && failures < FAILURES_TO_TRIP) return { ...breaker, failures };
  const again = breaker.phase === 'half-open';
  const coolMs = again ? Math.min(LONGEST_COOL_MS, breaker.coolMs * 2) : FIRST_COOL_MS;
  const phase = next(breaker.phase, 'TRIPPED');
  return { ...breaker, phase, failures, openedAtMs: nowMs, coolMs };
}

function passed(breaker: Breaker, nowMs: Ms): Breaker {
  if (breaker.phase !== 'open' || nowMs - breaker.openedAtMs < breaker.coolMs) return breaker;
  return { ...breaker, phase: next(breaker.phase, 'COOLED') };
}

const HANDLERS = { succeeded, failed, passed };

/** Advances a breaker on a success, a failure, or the passing of time. */
export function stepBreaker(
  breaker: Breaker,
  event: 'succeeded' | 'failed' | 'passed',
  nowMs: Ms,
): Breaker {
  return HANDLERS[event](breaker, nowMs);
}
