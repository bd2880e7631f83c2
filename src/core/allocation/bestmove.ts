import type { ModelId, Ms } from '../../base/index.js';
import type { ModelSpec } from '../routetable/index.js';
import { heldMb } from './heldmb.js';
import type { HeldModel } from './heldmodel.js';
import type { Move } from './move.js';
import type { LoadProjection } from './loadprojection.js';
import { replicaGain } from './replicagain.js';
import { replicaLoss } from './replicaloss.js';
import type { Site } from './site.js';
import type { Victim } from './victim.js';

const MS_PER_S = 1000;
/**
 * Cost of each second for which a move occupies an engine: other models may need the engine meanwhile. It rises with
 * the share of busy engines: while 13 to 16 of 16 engines were occupied by loads of 6 s, models on the disks of these
 * engines had to wait.
 */
const ORDER_COST_PER_S = 0.3;
const CONTENTION_COST_PER_S = 1.2;
const CONTENTION_SHARE = 0.5;
/** About how long an unload waits for the running requests of its model. */
const UNLOAD_MS = 1000;
/** The gain of a move has to exceed its cost by this: moves with less net gain were undone soon after. */
const MIN_NET_GAIN = 0.1;
/** Added to the duration of a move when moves are ranked by net gain per unit of engine time. */
const RANK_OFFSET_MS = 1000;

interface Room {
  readonly evicted: readonly ModelId[];
  readonly loss: number;
  readonly waitMs: Ms;
}

/** A move and its net gain per unit of engine time. */
interface RankedMove {
  readonly move: Move;
  readonly rank: number;
}

function loadTime({ upstream }: Site, spec: ModelSpec): { ms: Ms; isFromStore: boolean } {
  if (upstream.warm.has(spec.id)) return { ms: spec.warmLoadMs, isFromStore: false };
  if (upstream.onDisk.has(spec.id)) return { ms: spec.diskLoadMs, isFromStore: false };
  return { ms: spec.loadMs, isFromStore: true };
}

/** Returns the models of an engine by ascending loss. Cached until the projection changes. */
function victimsAt(projection: LoadProjection, site: Site, loadMs: Ms): readonly Victim[] {
  const changed = site;
  if (site.victims.version !== projection.version) {
    changed.victims = { version: projection.version, byLoadMs: new Map() };
  }
  const known = site.victims.byLoadMs.get(loadMs);
  if (known) return known;
  const victims = site.placed.map((placed) => ({
    placed,
    loss: replicaLoss(projection, site, placed, loadMs),
  }));
  victims.sort((a, b) => a.loss - b.loss);
  site.victims.byLoadMs.set(loadMs, victims);
  return victims;
}

/** Selects models to evict, by ascending loss, until the new one fits. Undefined if it cannot fit. */
function findRoom(
  projection: LoadProjection,
  site: Site,
  neededMb: number,
  loadMs: Ms,
): Room | undefined {
  let { freeMb } = site;
  if (freeMb >= neededMb) return { evicted: [], loss: 0, waitMs: 0 };
  const { engine } = projection.input;
  const evicted: ModelId[] = [];
  let loss = 0;
  let waitMs = 0;
  for (const victim of victimsAt(projection, site, loadMs)) {
    if (victim.loss === Infinity) return undefined;
    const { model, adapters } = victim.placed;
    evicted.push(model);
    loss += victim.loss;
    if (site.portions.has(model)) waitMs = UNLOAD_MS;
    freeMb += heldMb(engine, model, adapters.size);
    if (freeMb >= neededMb) return { evicted, loss, waitMs };
  }
  return undefined;
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
