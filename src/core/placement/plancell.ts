import type { CellPlan } from './cellplan.js';
import type { Draft } from './draft.js';
import { addSpares } from './addspares.js';
import type { Placed } from './placed.js';
import { placeMissing } from './placemissing.js';
import type { PlanInput } from './planinput.js';
import { relieve } from './relieve.js';
import { initialDraft } from './initialdraft.js';

const URGENCY: Readonly<Record<Placed['reason'], number>> = {
  'only-place': 5,
  shifted: 4,
  demand: 3,
  ordered: 2,
  spare: 1,
  resident: 0,
  kept: 0,
};

const STEPS: Readonly<
  Record<PlanInput['spares'], readonly ((draft: Draft, input: PlanInput) => void)[]>
> = {
  last: [relieve, addSpares],
  first: [addSpares, relieve],
  none: [relieve],
};

function isNew({ reason }: Placed): boolean {
  return reason !== 'resident' && reason !== 'ordered' && reason !== 'kept';
}

/** Returns the replicas on leaving upstreams that stay because their model is ready on no other upstream. */
function keptReplicas(draft: Draft, { upstreams }: PlanInput): Placed[] {
  const kept: Placed[] = [];
  for (const { id: upstream, state, residents } of upstreams) {
    if (state !== 'leaving') continue;
    for (const { model, phase, adapters } of residents) {
      if (phase !== 'ready' || draft.readyCount(model) > 0 || !draft.models.has(model)) continue;
      kept.push({ upstream, model, adapters, reason: 'kept', gain: 0, cost: 0 });
    }
  }
  return kept;
}

/** Returns the loads to order now, by urgency, then gain, then demand, up to the load limit. */
function loadsToOrder(placed: readonly Placed[], { loadLimit, demand }: PlanInput): Placed[] {
  const asked = ({ model }: Placed) => demand.get(model)?.perSecond ?? 0;
  return placed
    .filter(isNew)
    .sort((a, b) => URGENCY[b.reason] - URGENCY[a.reason] || b.gain - a.gain || asked(b) - asked(a))
    .slice(0, Math.max(0, loadLimit));
}

/**
 * Plans one cell: one replica of every model first, then replicas for forecast demand that are worth their moves and
 * second replicas in other availability zones, in the order given by `spares`. Resident models stay unless their
 * memory is needed.
 */
export function planCell(input: PlanInput): CellPlan {
  const draft = initialDraft(input);
  const unplaced = placeMissing(draft, input);
  for (const step of STEPS[input.spares]) step(draft, input);
  const planned = draft.placed();
  const loads = loadsToOrder(planned, input);
  // Loads beyond the limit are not part of this plan: the next one plans them again with newer data.
  const held = new Set(planned.filter((place) => !isNew(place) || loads.includes(place)));
  return {
    placed: [...planned.filter((place) => held.has(place)), ...keptReplicas(draft, input)],
    loads,
    waiting: planned.filter((place) => isNew(place) && !loads.includes(place)),
    dropped: draft.dropped,
    unplaced,
  };
}
