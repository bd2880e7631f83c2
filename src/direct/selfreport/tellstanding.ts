import type { Ms, UpstreamId } from '../../base/index.js';
import type { Standing } from '../../core/selfreport/index.js';
import type { Log } from '../../port/index.js';

/** Where a word came from: an answer to this entry's own request, or another entry. */
type Source = 'answer' | 'entry';

/** One start of an upstream before and after a word of its own. */
interface Change {
  readonly upstream: UpstreamId;
  readonly before: Standing;
  readonly after: Standing;
  readonly source: Source;
  readonly nowMs: Ms;
}

/** One line for each thing that an upstream says of itself for the first time, anew, or no more. */
export function tellStanding(log: Log, { upstream, before, after, source, nowMs }: Change): void {
  const told = { upstream, source };
  if (after.ratePerS !== before.ratePerS) {
    const { ratePerS } = after;
    const ageMs = Math.round(nowMs - after.rateAtMs);
    const message = ratePerS === undefined ? 'upstream limit over' : 'upstream limit';
    log.info(message, { ...told, ratePerS, before: before.ratePerS, ageMs });
  }
  if (after.isLeaving && !before.isLeaving) log.info('upstream says it leaves', told);
  if (after.pausedUntilMs > before.pausedUntilMs) {
    log.info('upstream pause', { ...told, forMs: Math.round(after.pausedUntilMs - nowMs) });
  }
}
