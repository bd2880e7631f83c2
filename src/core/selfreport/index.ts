/** What upstreams report of themselves in their answers: a rate limit, that they are leaving, a backoff. */
export { initialReportedState } from './initialreportedstate.js';
export { applySelfReport } from './applyselfreport.js';
export type { ReportedState } from './reportedstate.js';
