import type { Clock, ModelId } from '../../base/index.js';
import { turnLimits } from '../../core/orderturn/index.js';
import type { Log, UpstreamLink } from '../../port/index.js';
import { adoptList } from './adoptlist.js';
import type { Track } from './track.js';
import type { TurnKeeper } from './turnkeeper.js';

/** What an order needs to leave. */
interface OrderTools {
  readonly turn: TurnKeeper;
  readonly link: UpstreamLink;
  readonly clock: Clock;
  readonly log: Log;
  readonly host: string;
}

interface Wanted {
  readonly action: 'load' | 'unload';
  readonly model: ModelId;
  readonly adapter?: string;
}

type Outcome = Awaited<ReturnType<UpstreamLink['order']>> | 'not-holder' | 'resting';

/** Reports are this old, in ms; one asked for sooner may not know the order that caused the question. */
const REPORT_LAG_MS = 350;
/** After an order without an answer: most that come late come within this, and the list tells of them. */
const UNKNOWN_REST_MS = 2500;
const REPORT_TIMEOUT_MS = 500;

/** Asks the upstream itself what it holds. */
async function refresh(tools: OrderTools, track: Track): Promise<void> {
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
  if (!report) return;
  adoptList(track, report.models, clock.nowMs());
  Object.assign(track, { orderCount, restUntilMs: 0 });
}

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

async function send(tools: OrderTools, track: Track, wanted: Wanted): Promise<Outcome> {
  const { turn, link, clock, log, host } = tools;
  if (clock.nowMs() < track.restUntilMs) return 'resting';
  if (track.orderCount === undefined) await refresh(tools, track);
  const expectedOrderCount = track.orderCount;
  if (expectedOrderCount === undefined) return 'resting';
  const { id: upstream, address } = track.info;
  const fencingToken = turn.epoch;
  const order = { upstream, address, ...wanted, expectedOrderCount, holder: host, fencingToken };
  // Asked last: this process may have been stopped since it decided on the order.
  if (!turn.mayOrder()) return 'not-holder';
  const sentAtMs = clock.nowMs();
  const outcome = await link.order(order, turnLimits.orderTimeoutMs);
  const tookMs = Math.round(clock.nowMs() - sentAtMs);
  log.info('order', { ...order, outcome, tookMs });
  const isTaken = outcome === 'accepted' || (outcome === 'done' && wanted.action === 'unload');
  if (isTaken) Object.assign(track, { orderCount: expectedOrderCount + 1 });
  if (outcome === 'conflict') await correct(tools, track);
  if (outcome === 'unknown') {
    Object.assign(track, { restUntilMs: clock.nowMs() + UNKNOWN_REST_MS, orderCount: undefined });
  }
  return outcome;
}

/** Sends an order after those before it to the same upstream have been answered. */
export function sendOrder(tools: OrderTools, track: Track, wanted: Wanted): Promise<Outcome> {
  const sent = track.turn.then(() => send(tools, track, wanted));
  Object.assign(track, { turn: sent });
  return sent;
}
