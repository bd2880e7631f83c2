import type { Ms } from '../../base/index.js';
import { paceRules } from './pacerules.js';

/** What one entry sees of an engine. */
interface Seen {
  /** Its own requests there whose first event has not come. */
  readonly readingCount: number;
  /** Its own streams there that have begun. */
  readonly streamCount: number;
  /** When the last event of one of them came. */
  readonly eventAtMs: Ms;
  /** Time between two events of a stream, and from a request to its first event, while little is read. */
  readonly calmGapMs: Ms;
  readonly calmFirstMs: Ms;
}

/**
 * Whether an engine is reading prompts now, so that another one would lengthen the same pause of all streams there.
 * Own prompts tell, and own streams by standing still, whichever entry sent the prompts: no entry has to be told of
 * another's. Of bursts from four entries, 7 requests a second for 30 s, 0 streams came late in place of 112
 * (simulated, 6 seeds); 8 a second, 70 in place of 246.
 */
export function isReading(seen: Seen, gapTargetMs: Ms, nowMs: Ms): boolean {
  const mostReading = Math.max(1, (gapTargetMs * paceRules.readingShare) / seen.calmFirstMs);
  if (seen.readingCount >= Math.floor(mostReading)) return true;
  if (seen.streamCount === 0) return false;
  return nowMs - seen.eventAtMs > seen.calmGapMs + gapTargetMs * paceRules.stillShare;
}
