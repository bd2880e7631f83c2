import type { ModelId, Ms } from '../../base/index.js';
import type { ModelSpec } from '../routetable/index.js';
import type { Census } from './census.js';
import { gainOf } from './gainof.js';
import type { Move } from './move.js';
import type { PlanInput } from './planinput.js';
import { planRules } from './planrules.js';
import type { PlanUpstream } from './planupstream.js';

const MS_PER_S = 1000;

interface Room {
  readonly evicted: readonly ModelId[];
  readonly cost: number;
}

function sizeMb(
  { engine }: PlanInput,
  { model, adapters }: PlanUpstream['placed'][number],
): number {
  const spec = engine.models.get(model);
  return spec ? spec.sizeMb + adapters.size * spec.adapterSizeMb : 0;
}

/** Takes the cheapest models first until the new one fits. */
function roomFor(
  input: PlanInput,
  census: Census,
  upstream: PlanUpstream,
  neededMb: number,
): Room | undefined {
  const used = upstream.placed.reduce((sum, one) => sum + sizeMb(input, one), 0);
  let freeMb = input.engine.weightsMb - used;
  const evicted: ModelId[] = [];
  let cost = 0;
  if (freeMb >= neededMb) return { evicted, cost };
  for (const victim of census.victims(upstream)) {
    if (victim.cost === Infinity) return undefined;
    evicted.push(victim.placed.model);
    cost += victim.cost;
    freeMb += sizeMb(input, victim.placed);
    if (freeMb >= neededMb) return { evicted, cost };
  }
  return undefined;
}

function loadTime(upstream: PlanUpstream, spec: ModelSpec): { ms: Ms; isFromStore: boolean } {
  if (upstream.warm.has(spec.id)) return { ms: spec.warmLoadMs, isFromStore: false };
  if (upstream.onDisk.has(spec.id)) return { ms: spec.diskLoadMs, isFromStore: false };
  return { ms: spec.loadMs, isFromStore: true };
}

/** Where a further place of a model is worth most, if it is worth its cost. */
export function bestSite(
  input: PlanInput,
  census: Census,
  model: ModelId,
  coldLoadsLeft: number,
): Move | undefined {
  const spec = input.engine.models.get(model);
  if (!spec) return undefined;
  const mayLoad = coldLoadsLeft > 0 && (!census.isRare(model) || census.hasRareLoadLeft());
  let best: Move | undefined;
  for (const upstream of input.upstreams) {
    if (upstream.isBusy || upstream.placed.some((one) => one.model === model)) continue;
    const { ms, isFromStore } = loadTime(upstream, spec);
    if (isFromStore && !mayLoad) continue;
    const room = roomFor(input, census, upstream, spec.sizeMb);
    if (!room) continue;
    const loadCost =
      (ms / MS_PER_S) * planRules.costPerLoadS + (isFromStore ? planRules.coldCost : 0);
    const cost = room.cost + loadCost;
    const gain = gainOf(input, census, model, upstream, ms);
    if (gain < cost + planRules.margin || (best && best.gain - best.cost >= gain - cost)) continue;
    best = {
      upstream: upstream.id,
      model,
      evicted: room.evicted,
      loadMs: ms,
      isFromStore,
      gain,
      cost,
    };
  }
  return best;
}
