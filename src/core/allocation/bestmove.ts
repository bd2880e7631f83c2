import { findRoom } from './findroom.js';
import type { HeldModel } from './heldmodel.js';
import { loadTime } from './loadtime.js';
import type { Move } from './move.js';
import type { LoadProjection } from './loadprojection.js';
import { replicaGain } from './replicagain.js';

const MS_PER_S = 1000;
/**
 * Cost of each second for which a move occupies an engine: other models may need the engine meanwhile. It rises with
 * the share of busy engines: while 13 to 16 of 16 engines were occupied by loads of 6 s, models on the disks of these
 * engines had to wait.
 */
const ORDER_COST_PER_S = 0.3;
const CONTENTION_COST_PER_S = 1.2;
const CONTENTION_SHARE = 0.5;
/** The gain of a move has to exceed its cost by this: moves with less net gain were undone soon after. */
const MIN_NET_GAIN = 0.1;
/** Added to the duration of a move when moves are ranked by net gain per unit of engine time. */
const RANK_OFFSET_MS = 1000;

/** A move and its net gain per unit of engine time. */
interface RankedMove {
  readonly move: Move;
  readonly rank: number;
}

/** Finds the engine on which another replica of a model has the best rank, among those with enough net gain. */
export function bestMove(
  projection: LoadProjection,
  held: HeldModel,
  mayLoadFromStore: boolean,
): RankedMove | undefined {
  const spec = projection.input.engine.models.get(held.model);
  if (!spec) return undefined;
  const contention =
    Math.max(0, projection.reservedShare() - CONTENTION_SHARE) / (1 - CONTENTION_SHARE);
  const orderCostPerS = ORDER_COST_PER_S + CONTENTION_COST_PER_S * contention;
  let best: RankedMove | undefined;
  for (const site of projection.sites) {
    if (site.isReserved || site.placed.some(({ model }) => model === held.model)) continue;
    const { ms, isFromStore } = loadTime(site, spec);
    if (isFromStore && !mayLoadFromStore) continue;
    const gain = replicaGain(projection, held, site, ms);
    if (gain <= MIN_NET_GAIN) continue;
    const room = findRoom(projection, site, spec.sizeMb, ms);
    if (!room) continue;
    const totalMs = ms + room.waitMs;
    const cost = room.loss + (totalMs / MS_PER_S) * orderCostPerS;
    const rank = (gain - cost) / (totalMs + RANK_OFFSET_MS);
    if (gain < cost + MIN_NET_GAIN || (best && best.rank >= rank)) continue;
    const { evicted } = room;
    const upstream = site.upstream.id;
    best = {
      rank,
      move: { upstream, model: held.model, evicted, loadMs: ms, isFromStore, gain, cost },
    };
  }
  return best;
}
