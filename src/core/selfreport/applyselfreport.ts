import type { Ms } from '../../base/index.js';
import type { SelfReport } from '../../port/index.js';
import type { ReportedState } from './reportedstate.js';

/**
 * Applies the report of an answer that has just arrived. The newest answer decides the rate; a backoff lasts until the
 * latest end that the upstream has requested. Returns the same state if the report changes nothing.
 */
export function applySelfReport(
  state: ReportedState,
  report: SelfReport,
  nowMs: Ms,
): ReportedState {
  const { rate, backoffMs } = report;
  const hasRate = rate.type !== 'unsaid' && nowMs >= state.rateAtMs;
  const wasLimited = state.ratePerS !== undefined;
  const isRelevant =
    rate.type === 'limited' || wasLimited || report.isLeaving || backoffMs !== undefined;
  if (!isRelevant) return state;
  const backoffUntilMs = Math.max(state.backoffUntilMs, nowMs + (backoffMs ?? -Infinity));
  const isLeaving = state.isLeaving || report.isLeaving;
  const next = { ...state, isLeaving, backoffUntilMs };
  if (!hasRate) return next;
  const ratePerS = rate.type === 'limited' ? rate.perS : undefined;
  return { ...next, ratePerS, rateAtMs: nowMs };
}
