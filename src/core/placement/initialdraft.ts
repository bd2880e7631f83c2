import type { CellUpstream } from './cellupstream.js';
import { Draft } from './draft.js';
import type { PlanInput } from './planinput.js';

const RESIDENT = { reason: 'resident', gain: 0, cost: 0 } as const;
const ORDERED = { reason: 'ordered', gain: 0, cost: 0 } as const;

function addOrdered(draft: Draft, input: PlanInput, bin: CellUpstream): void {
  for (const { upstream, model } of input.ordered) {
    const known = draft.models.get(model);
    if (known && upstream === bin.id) draft.add(bin, known, ORDERED);
  }
}

/** Adds residents after ordered loads, those without another replica first. Drops those for which no room is left. */
function addResidents(draft: Draft, bin: CellUpstream, readyAt: ReadonlyMap<string, number>): void {
  const held = bin.residents.filter(({ phase }) => phase !== 'unloading');
  const elsewhere = (model: string) => (readyAt.get(model) ?? 0) > 1;
  const order = [...held].sort(
    (a, b) =>
      Number(elsewhere(a.model)) - Number(elsewhere(b.model)) || (a.model < b.model ? -1 : 1),
  );
  for (const { model } of order) {
    const known = draft.models.get(model);
    if (!known || draft.entry(bin.id, model)) continue;
    if (!draft.add(bin, known, RESIDENT)) draft.dropped.push({ upstream: bin.id, model });
  }
}

function countReady(upstreams: readonly CellUpstream[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { residents, state } of upstreams) {
    if (state !== 'usable') continue;
    for (const { model, phase } of residents) {
      if (phase === 'ready') counts.set(model, (counts.get(model) ?? 0) + 1);
    }
  }
  return counts;
}

/** Creates the draft without any new move: the resident models and ordered loads of the usable upstreams. */
export function initialDraft(input: PlanInput): Draft {
  const bins = input.upstreams.filter(({ state }) => state === 'usable');
  const draft = new Draft(bins, new Map(input.models.map((model) => [model.id, model])));
  const readyAt = countReady(input.upstreams);
  for (const bin of bins) {
    addOrdered(draft, input, bin);
    addResidents(draft, bin, readyAt);
  }
  return draft;
}
