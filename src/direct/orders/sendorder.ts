import type { ModelId } from '../../base/index.js';
import { turnLimits } from '../../core/orderturn/index.js';
import type { UpstreamLink } from '../../port/index.js';
import type { OrderTools } from './ordertools.js';
import { refresh } from './refresh.js';
import type { Track } from './track.js';

interface Wanted {
  readonly action: 'load' | 'unload';
  readonly model: ModelId;
  readonly adapter?: string;
}

type Outcome = Awaited<ReturnType<UpstreamLink['order']>> | 'not-holder' | 'resting';

/** Reports are this old, in ms; one asked for sooner may not know the order that caused the question. */
const REPORT_LAG_MS = 350;
/** One that has started anew is in the list under another id by then; each tick's plan had chosen it again. */
const OTHER_START_REST_MS = 1500;
/** After an order without an answer: most that come late come within this, and the list tells of them. */
const UNKNOWN_REST_MS = 2500;

/** After an answer that shows that the belief was wrong: rests until a report knows of it. */
async function correct(tools: OrderTools, track: Track): Promise<void> {
  const { clock } = tools;
  const restUntilMs = clock.nowMs() + REPORT_LAG_MS + UNKNOWN_REST_MS;
  Object.assign(track, { restUntilMs, orderCount: undefined });
  await new Promise<void>((resolve) => {
    clock.after(REPORT_LAG_MS, resolve);
  });
  await refresh(tools, track);
}

/** Sends one order, if the right to and the belief of what the upstream holds allow it. */
export async function sendOrder(tools: OrderTools, track: Track, wanted: Wanted): Promise<Outcome> {
  const { turn, link, clock, log, metrics, host } = tools;
  if (clock.nowMs() < track.restUntilMs) return 'resting';
  const expectedOrderCount = track.orderCount;
  if (expectedOrderCount === undefined) {
    // What it holds may differ from what this order was decided on: whoever sent it decides anew.
    await refresh(tools, track);
    return 'resting';
  }
  const { id: upstream, address } = track.info;
  const fencingToken = turn.epoch;
  const order = { upstream, address, ...wanted, expectedOrderCount, holder: host, fencingToken };
  // Asked once more when its connection is open: this process may be stopped until then.
  const mayLeave = () => turn.mayOrder() && turn.epoch === fencingToken;
  if (!mayLeave()) return 'not-holder';
  const sentAtMs = clock.nowMs();
  const outcome = await link.order(order, turnLimits.orderTimeoutMs, mayLeave);
  const tookMs = Math.round(clock.nowMs() - sentAtMs);
  log.info('order', { ...order, outcome, tookMs });
  metrics.count('direct.order', 1, { action: wanted.action, outcome });
  const isTaken = outcome === 'accepted' || (outcome === 'done' && wanted.action === 'unload');
  if (isTaken) Object.assign(track, { orderCount: expectedOrderCount + 1 });
  if (outcome === 'conflict') await correct(tools, track);
  if (outcome === 'wrong-upstream') {
    Object.assign(track, { restUntilMs: clock.nowMs() + OTHER_START_REST_MS });
  }
  if (outcome === 'unknown') {
    const { action, model, adapter } = wanted;
    const doubt = action === 'load' ? { model, adapter, expectedOrderCount } : undefined;
    const restUntilMs = clock.nowMs() + UNKNOWN_REST_MS;
    Object.assign(track, { doubt, restUntilMs, orderCount: undefined });
  }
  return outcome;
}
