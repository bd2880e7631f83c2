import type { Ms, UpstreamId } from '../../base/index.js';
import type { ReportedState } from '../../core/selfreport/index.js';
import type { Log } from '../../port/index.js';

/** Where a change came from: an answer to this entry's own request, or another entry. */
type Source = 'answer' | 'entry';

/** The reported state of one incarnation of an upstream before and after a change. */
interface Change {
  readonly upstream: UpstreamId;
  readonly before: ReportedState;
  readonly after: ReportedState;
  readonly source: Source;
  readonly nowMs: Ms;
}

/** Logs one line for each part of a reported state that was added, changed or removed. */
export function logReportedState(
  log: Log,
  { upstream, before, after, source, nowMs }: Change,
): void {
  const fields = { upstream, source };
  if (after.ratePerS !== before.ratePerS) {
    const { ratePerS } = after;
    const ageMs = Math.round(nowMs - after.rateAtMs);
    const message = ratePerS === undefined ? 'upstream limit over' : 'upstream limit';
    log.info(message, { ...fields, ratePerS, before: before.ratePerS, ageMs });
  }
  if (after.isLeaving && !before.isLeaving) log.info('upstream says it leaves', fields);
  if (after.backoffUntilMs > before.backoffUntilMs) {
    log.info('upstream pause', { ...fields, forMs: Math.round(after.backoffUntilMs - nowMs) });
  }
}
