import { follow } from '../chart/index.js';
import type { Phase } from './phase.js';
import chart from './ticket.chart.json' with { type: 'json' };

const step = follow<Phase, string>(chart);

/** The phase that an event leads to, or undefined where the chart has no such step. */
export function nextPhase(
  phase: Phase,
  event: 'BEGIN' | 'RETURN' | 'ANSWER' | 'BREAK' | 'CANCEL' | 'EXPIRE',
): Phase | undefined {
  const next = step(phase, event);
  return next === phase ? undefined : next;
}
