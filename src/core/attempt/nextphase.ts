import { follow } from '../chart/index.js';
import chart from './attempt.chart.json' with { type: 'json' };

const next = follow<string, string>(chart);

/** The phase that the chart gives, or undefined if it has no such step. No step leads back to its own phase. */
export function nextPhase(phase: string, type: string): string | undefined {
  const found = next(phase, type);
  return found === phase ? undefined : found;
}
