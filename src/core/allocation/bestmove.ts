import type { ModelId, Ms } from '../../base/index.js';
import type { ModelSpec } from '../routetable/index.js';
import type { Held } from './held.js';
import type { Move } from './move.js';
import type { Outlook } from './outlook.js';
import { placeGain } from './placegain.js';
import { placeLoss } from './placeloss.js';
import type { Site } from './site.js';
import type { Victim } from './victim.js';

const MS_PER_S = 1000;
/**
 * What a second of an engine's order costs: it may be wanted for another model meanwhile, the more engines have one
 * under way. With 13 to 16 of 16 engines at loads of 6 s, models on the disks of those engines waited for them.
 */
const ORDER_LOSS_PER_S = 0.3;
const CROWDED_LOSS_PER_S = 1.2;
const CROWDED_SHARE = 0.5;
/** An unload waits for the runs of its model, about this long. */
const UNLOAD_MS = 1000;
/** A move has to gain this much more than it costs: moves for less were undone again. */
const MARGIN = 0.1;
/** Added to the time of a move where moves are ranked by what they bring in a second of an engine's orders. */
const RANK_MS = 1000;

interface Room {
  readonly evicted: readonly ModelId[];
  readonly loss: number;
  readonly waitMs: Ms;
}

/** A move, and what it brings for each second of an engine's orders. */
interface RankedMove {
  readonly move: Move;
  readonly rank: number;
}

function loadTime({ upstream }: Site, spec: ModelSpec): { ms: Ms; isFromStore: boolean } {
  if (upstream.warm.has(spec.id)) return { ms: spec.warmLoadMs, isFromStore: false };
  if (upstream.onDisk.has(spec.id)) return { ms: spec.diskLoadMs, isFromStore: false };
  return { ms: spec.loadMs, isFromStore: true };
}

/** What an engine holds, the least loss first; worked out once for each state of all engines. */
function victimsAt(outlook: Outlook, site: Site, loadMs: Ms): readonly Victim[] {
  const mark = site;
  if (site.victims.version !== outlook.version) {
    mark.victims = { version: outlook.version, byLoadMs: new Map() };
  }
  const known = site.victims.byLoadMs.get(loadMs);
  if (known) return known;
  const victims = site.placed.map((placed) => ({
    placed,
    loss: placeLoss(outlook, site, placed, loadMs),
  }));
  victims.sort((a, b) => a.loss - b.loss);
  site.victims.byLoadMs.set(loadMs, victims);
  return victims;
}

/** Takes the models first whose loss is least, until the new one fits. */
function roomAt(outlook: Outlook, site: Site, neededMb: number, loadMs: Ms): Room | undefined {
  let { freeMb } = site;
  if (freeMb >= neededMb) return { evicted: [], loss: 0, waitMs: 0 };
  const { engine } = outlook.input;
  const evicted: ModelId[] = [];
  let loss = 0;
  let waitMs = 0;
  for (const victim of victimsAt(outlook, site, loadMs)) {
    if (victim.loss === Infinity) return undefined;
    const { model, adapters } = victim.placed;
    const spec = engine.models.get(model);
    evicted.push(model);
    loss += victim.loss;
    if (site.portions.has(model)) waitMs = UNLOAD_MS;
    freeMb += spec ? spec.sizeMb + adapters.size * spec.adapterSizeMb : 0;
    if (freeMb >= neededMb) return { evicted, loss, waitMs };
  }
  return undefined;
}

/** Where a further place of a model brings most, if it brings more than it costs. */
export function bestMove(
  outlook: Outlook,
  held: Held,
  mayLoadFromStore: boolean,
): RankedMove | undefined {
  const spec = outlook.input.engine.models.get(held.model);
  if (!spec) return undefined;
  const crowded = Math.max(0, outlook.takenShare() - CROWDED_SHARE) / (1 - CROWDED_SHARE);
  const orderLossPerS = ORDER_LOSS_PER_S + CROWDED_LOSS_PER_S * crowded;
  let best: RankedMove | undefined;
  for (const site of outlook.sites) {
    if (site.isTaken || site.placed.some(({ model }) => model === held.model)) continue;
    const { ms, isFromStore } = loadTime(site, spec);
    if (isFromStore && !mayLoadFromStore) continue;
    const gain = placeGain(outlook, held, site, ms);
    if (gain <= MARGIN) continue;
    const room = roomAt(outlook, site, spec.sizeMb, ms);
    if (!room) continue;
    const wholeMs = ms + room.waitMs;
    const cost = room.loss + (wholeMs / MS_PER_S) * orderLossPerS;
    const rank = (gain - cost) / (wholeMs + RANK_MS);
    if (gain < cost + MARGIN || (best && best.rank >= rank)) continue;
    const { evicted } = room;
    const upstream = site.upstream.id;
    best = {
      rank,
      move: { upstream, model: held.model, evicted, loadMs: ms, isFromStore, gain, cost },
    };
  }
  return best;
}
