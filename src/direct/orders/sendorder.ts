import type { ModelId, Ms } from '../../base/index.js';
import { orderLeaseLimits } from '../../core/orderlease/index.js';
import type { UpstreamLink } from '../../port/index.js';
import type { OrderContext } from './ordercontext.js';
import { hasRoom } from './hasroom.js';
import { refresh } from './refresh.js';
import { reportLagMs } from './reportlag.js';
import type { UnconfirmedOrder } from './unconfirmedorder.js';
import type { UpstreamView } from './upstreamview.js';

interface OrderRequest {
  readonly action: 'load' | 'unload';
  readonly model: ModelId;
  readonly adapter?: string;
}

type Outcome = Awaited<ReturnType<UpstreamLink['order']>> | 'not-holder' | 'resting' | 'no-room';

/**
 * Pause after an order reached a restarted upstream: by then the list shows its new id, and plans do not select it
 * again.
 */
const RESTARTED_REST_MS = 1500;
/**
 * Pause after an order without an answer, where the service is not load-aware: most late orders arrive within it, and
 * the list shows their effect.
 */
const UNCONFIRMED_REST_MS = 2500;

/**
 * Handles a conflict, which shows that the assumed state is wrong: pauses until a report is available whose content is
 * younger than the order that caused it.
 */
async function resync(context: OrderContext, view: UpstreamView): Promise<void> {
  const { clock } = context;
  const restUntilMs = clock.nowMs() + reportLagMs + UNCONFIRMED_REST_MS;
  Object.assign(view, { restUntilMs, orderCount: undefined });
  await new Promise<void>((resolve) => {
    clock.after(reportLagMs, resolve);
  });
  await refresh(context, view);
}

/** Returns what an order is based on, for the log. */
function basisOf({ models, learned }: UpstreamView, nowMs: Ms): Readonly<Record<string, unknown>> {
  let adapterCount = 0;
  for (const { adapters } of models.values()) adapterCount += adapters.size;
  return {
    held: [...models].map(([model, { phase }]) => `${model}:${phase}`),
    adapterCount,
    heldFrom: learned?.from,
    heldAgeMs: learned && Math.round(nowMs - learned.atMs),
  };
}

/**
 * Checks a load against the state that the expected count of orders belongs to: the decision may be older. A load without
 * room would crash the upstream.
 */
function mayLoad({ engineOf, log }: OrderContext, view: UpstreamView, load: OrderRequest): boolean {
  const engine = engineOf(view.info.service);
  if (engine && hasRoom(view, engine, load)) return true;
  const { id: upstream } = view.info;
  log.info('order withheld', { upstream, ...load, expectedOrderCount: view.orderCount });
  return false;
}

/** Updates the view after an answer: what an accepted order does to the count and to orders without an answer. */
function recordTaken(
  view: UpstreamView,
  outcome: Outcome,
  expectedOrderCount: number,
  isTaken: boolean,
): void {
  // An unload that finds its effect present is answered `done` and may leave the count as it is: an unconfirmed order
  // that expects this count could then still be carried out, and raise it to the assumed one.
  const isUncertain = isTaken && outcome === 'done' && view.unconfirmed.length > 0;
  if (outcome === 'accepted') {
    const unconfirmed = view.unconfirmed.filter(
      (order) => order.expectedOrderCount > expectedOrderCount,
    );
    Object.assign(view, { unconfirmed, ambiguousAtMs: undefined });
  }
  // The count may have become unknown while the order was under way.
  if (!isTaken || view.orderCount !== expectedOrderCount) return;
  Object.assign(view, { orderCount: isUncertain ? undefined : expectedOrderCount + 1 });
}

/**
 * Settles an order without an answer from the upstream's report instead of pausing. If the report shows the same
 * count, the next order expects it as well: the upstream accepts at most one of the two, and either fits beside what
 * it holds at that count. If the report shows that the order was carried out, the outcome is `accepted`.
 */
async function superseded(
  context: OrderContext,
  view: UpstreamView,
  order: UnconfirmedOrder,
): Promise<Outcome> {
  const { startedAtMs } = view.info;
  Object.assign(view, { unconfirmed: [...view.unconfirmed, order], orderCount: undefined });
  await refresh(context, view);
  const isSameStart = view.info.startedAtMs === startedAtMs;
  return isSameStart && !view.unconfirmed.includes(order) ? 'accepted' : 'unknown';
}

/**
 * Sends an order if this process holds the order lease and the upstream's count of orders is known, and a load only if
 * there is room for it.
 */
export async function sendOrder(
  context: OrderContext,
  view: UpstreamView,
  wanted: OrderRequest,
): Promise<Outcome> {
  const { lease, link, clock, log, metrics, host } = context;
  if (clock.nowMs() < view.restUntilMs) return 'resting';
  const expectedOrderCount = view.orderCount;
  if (expectedOrderCount === undefined) {
    // The upstream's residency may differ from what this order was based on, so the caller has to decide again.
    await refresh(context, view);
    return 'resting';
  }
  if (wanted.action === 'load' && !mayLoad(context, view, wanted)) return 'no-room';
  const { id: upstream, address } = view.info;
  const fencingToken = lease.epoch;
  const order = { upstream, address, ...wanted, expectedOrderCount, holder: host, fencingToken };
  // Checked again once the connection is open: this process may be suspended until then.
  const maySend = () => lease.mayOrder() && lease.epoch === fencingToken;
  if (!maySend()) return 'not-holder';
  const sentAtMs = clock.nowMs();
  const basis = basisOf(view, sentAtMs);
  const outcome = await link.order(order, orderLeaseLimits.orderTimeoutMs, maySend);
  const tookMs = Math.round(clock.nowMs() - sentAtMs);
  log.info('order', { ...order, ...basis, outcome, tookMs });
  metrics.count('direct.order', 1, { action: wanted.action, outcome });
  const isTaken = outcome === 'accepted' || (outcome === 'done' && wanted.action === 'unload');
  recordTaken(view, outcome, expectedOrderCount, isTaken);
  if (outcome === 'conflict') await resync(context, view);
  if (outcome === 'wrong-upstream') {
    Object.assign(view, { restUntilMs: clock.nowMs() + RESTARTED_REST_MS });
  }
  if (outcome !== 'unknown') return outcome;
  const unconfirmed = { ...wanted, expectedOrderCount };
  if (context.isLoadAware?.(view.info.service)) return superseded(context, view, unconfirmed);
  Object.assign(view, {
    unconfirmed: wanted.action === 'load' ? [unconfirmed] : [],
    restUntilMs: clock.nowMs() + UNCONFIRMED_REST_MS,
    orderCount: undefined,
  });
  return outcome;
}
