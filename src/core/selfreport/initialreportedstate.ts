import type { ReportedState } from './reportedstate.js';

/** State of an upstream that has not reported anything yet. */
export const initialReportedState: ReportedState = {
  rateAtMs: -Infinity,
  isLeaving: false,
  backoffUntilMs: -Infinity,
};
