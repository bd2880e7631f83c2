import type { Ms } from '../../base/index.js';
import type { SelfReport } from '../../port/index.js';
import type { Standing } from './standing.js';

/**
 * What an answer that has just come changes: of a rate the newest answer decides, a pause ends with the latest one that
 * was asked for. Returns the same standing if it changes nothing.
 */
export function onSelfReport(standing: Standing, report: SelfReport, nowMs: Ms): Standing {
  const { rate, pauseMs } = report;
  const isSaid = rate.type !== 'unsaid' && nowMs >= standing.rateAtMs;
  const wasLimited = standing.ratePerS !== undefined;
  const isOfNote =
    rate.type === 'limited' || wasLimited || report.isLeaving || pauseMs !== undefined;
  if (!isOfNote) return standing;
  const pausedUntilMs = Math.max(standing.pausedUntilMs, nowMs + (pauseMs ?? -Infinity));
  const isLeaving = standing.isLeaving || report.isLeaving;
  const next = { ...standing, isLeaving, pausedUntilMs };
  if (!isSaid) return next;
  const ratePerS = rate.type === 'limited' ? rate.perS : undefined;
  return { ...next, ratePerS, rateAtMs: nowMs };
}
