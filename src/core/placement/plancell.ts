import type { CellPlan } from './cellplan.js';
import type { Draft } from './draft.js';
import { addSpares } from './addspares.js';
import type { Placed } from './placed.js';
import { placeOnce } from './placeonce.js';
import type { PlanInput } from './planinput.js';
import { relieve } from './relieve.js';
import { startDraft } from './startdraft.js';

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

/** Models that only leaving upstreams hold ready stay there until they have been loaded elsewhere. */
function keptOf(draft: Draft, { upstreams }: PlanInput): Placed[] {
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

/** Loads that go out now: demand's value decides among those of one urgency. */
function release(placed: readonly Placed[], { loadLimit, demand }: PlanInput): Placed[] {
  const asked = ({ model }: Placed) => demand.get(model)?.perSecond ?? 0;
  return placed
    .filter(isNew)
    .sort((a, b) => URGENCY[b.reason] - URGENCY[a.reason] || b.gain - a.gain || asked(b) - asked(a))
    .slice(0, Math.max(0, loadLimit));
}

/**
 * Plans one cell: every model once, then replicas for forecast demand as far as they pay for their moves,
 * then second places in other availability zones. What is in memory stays unless its room is needed.
 */
export function planCell(input: PlanInput): CellPlan {
  const draft = startDraft(input);
  const unplaced = placeOnce(draft, input);
  for (const step of STEPS[input.spares]) step(draft, input);
  const planned = draft.placed();
  const loads = release(planned, input);
  // A load that has to wait for the weight store is planned again: by then more is known.
  const held = new Set(planned.filter((place) => !isNew(place) || loads.includes(place)));
  return {
    placed: [...planned.filter((place) => held.has(place)), ...keptOf(draft, input)],
    loads,
    waiting: planned.filter((place) => isNew(place) && !loads.includes(place)),
    dropped: draft.dropped,
    unplaced,
  };
}
