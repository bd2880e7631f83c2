import type { Ms } from '../../base/index.js';
import { adoptList } from './adoptlist.js';
import type { OrderTools } from './ordertools.js';
import { settleDoubt } from './settledoubt.js';
import type { Track } from './track.js';

const REPORT_TIMEOUT_MS = 500;
/** An upstream that carries out an order is asked again after this; a load takes at least 380. */
const BUSY_REST_MS = 300;
/** One that does not answer is left alone for this long: the list tells of its end after about 3 s. */
const SILENT_REST_MS = 800;

/** Whether a report is of the start that is known; a newer start holds and knows nothing of what was ordered before. */
function isOfThisStart(tools: OrderTools, track: Track, startedAtMs: Ms | undefined): boolean {
  const { clock, log } = tools;
  const { id, startedAtMs: known } = track.info;
  if (startedAtMs === undefined || known === undefined || startedAtMs === known) return true;
  log.info('report of another start', { upstream: id, startedAtMs, known });
  if (startedAtMs < known) {
    Object.assign(track, { restUntilMs: clock.nowMs() + SILENT_REST_MS });
    return false;
  }
  track.done.clear();
  track.going.clear();
  const info = { ...track.info, startedAtMs };
  Object.assign(track, { info, doubt: undefined, models: new Map() });
  return true;
}

/** Asks the upstream itself what it holds. */
export async function refresh(tools: OrderTools, track: Track): Promise<void> {
  const { clock, link, log } = tools;
  const { id, address } = track.info;
  const report = await link.report(id, address, REPORT_TIMEOUT_MS);
  const { orderCount, isBusy } = report ?? {};
  log.info('upstream asked what it holds', {
    upstream: id,
    believed: track.orderCount,
    orderCount,
    isBusy,
    models: report && [...report.models.keys()],
  });
  if (!report) {
    Object.assign(track, { restUntilMs: clock.nowMs() + SILENT_REST_MS });
    return;
  }
  if (!isOfThisStart(tools, track, report.startedAtMs)) return;
  adoptList(track, report.models, clock.nowMs());
  settleDoubt(track, report.orderCount, clock.nowMs());
  // A busy one takes no order, and its count may rise when it is done.
  const restUntilMs = isBusy ? clock.nowMs() + BUSY_REST_MS : 0;
  Object.assign(track, { orderCount: isBusy ? undefined : orderCount, restUntilMs });
}
