import type { Ms } from '../../base/index.js';
import { adoptModels } from './adoptmodels.js';
import type { OrderContext } from './ordercontext.js';
import { reportLagMs } from './reportlag.js';
import { settleUnconfirmed } from './settleunconfirmed.js';
import type { UpstreamView } from './upstreamview.js';

const REPORT_TIMEOUT_MS = 500;
/** Pause after the report of an upstream that is executing an order; a load takes at least 380 ms. */
const BUSY_REST_MS = 300;
/** Pause after a report that got no answer: the list shows the end of an upstream after about 3 s. */
const SILENT_REST_MS = 800;

/**
 * True if a report can be adopted. A report of an older start is ignored. A report of a newer start discards what was
 * ordered before, as the upstream has lost its models and its count of orders.
 */
function isCurrentStart(
  context: OrderContext,
  view: UpstreamView,
  startedAtMs: Ms | undefined,
): boolean {
  const { clock, log } = context;
  const { id, startedAtMs: known } = view.info;
  if (startedAtMs === undefined || known === undefined || startedAtMs === known) return true;
  log.info('upstream report is of another start', { upstream: id, startedAtMs, known });
  if (startedAtMs < known) {
    Object.assign(view, { restUntilMs: clock.nowMs() + SILENT_REST_MS });
    return false;
  }
  view.done.clear();
  view.unloadingAdapters.clear();
  const info = { ...view.info, startedAtMs };
  Object.assign(view, { info, unconfirmed: [], ambiguousAtMs: undefined, models: new Map() });
  return true;
}

/** Requests the upstream's own report of its residency and adopts it. */
export async function refresh(context: OrderContext, view: UpstreamView): Promise<void> {
  const { clock, link, log } = context;
  const { id, address, service } = view.info;
  const requestedAtMs = clock.nowMs();
  const report = await link.report(id, address, REPORT_TIMEOUT_MS);
  const { orderCount, isBusy } = report ?? {};
  log.info('upstream asked what it holds', {
    upstream: id,
    believed: view.orderCount,
    orderCount,
    isBusy,
    models: report && [...report.models.keys()],
  });
  if (!report) {
    Object.assign(view, { restUntilMs: clock.nowMs() + SILENT_REST_MS });
    return;
  }
  if (!isCurrentStart(context, view, report.startedAtMs)) return;
  adoptModels(view, report.models, 'report', clock.nowMs());
  const nowMs = clock.nowMs();
  const keepsOpen = context.isLoadAware?.(service) === true;
  const counted = { orderCount: report.orderCount, requestedAtMs, nowMs };
  if (!settleUnconfirmed(view, counted, keepsOpen)) {
    Object.assign(view, { orderCount: undefined, restUntilMs: nowMs + reportLagMs });
    return;
  }
  // A busy upstream accepts no order, and its count may rise once it is done.
  const restUntilMs = isBusy ? clock.nowMs() + BUSY_REST_MS : 0;
  Object.assign(view, { orderCount: isBusy ? undefined : orderCount, restUntilMs });
}
