import type { CellPlan } from '../placement/index.js';
import type { Cell } from './cell.js';
import type { PlannerEffect } from './plannereffect.js';

type Place = Extract<PlannerEffect, { type: 'place' }>;

const URGENCY: Readonly<Record<CellPlan['placed'][number]['reason'], number>> = {
  'only-place': 5,
  shifted: 4,
  demand: 3,
  ordered: 2,
  spare: 1,
  resident: 0,
  kept: 0,
};

/** Each upstream's part of a plan. Lost upstreams get none. */
export function plansOf(plan: CellPlan, cell: Cell, sequence: number): readonly Place[] {
  const versions = new Map(cell.models.map(({ id, version }) => [id, version]));
  const live = cell.upstreams.filter(({ state }) => state !== 'lost');
  return live.map(({ id: upstream, role }) => {
    const here = plan.placed.filter((place) => place.upstream === upstream);
    const wanted = here.filter(({ reason }) => reason !== 'kept');
    const models = wanted.map(({ model, adapters, reason }) => ({
      model,
      version: versions.get(model) ?? '',
      adapters,
      urgency: URGENCY[reason],
    }));
    const kept = here.filter(({ reason }) => reason === 'kept').map(({ model }) => model);
    return { type: 'place', upstream, sequence, models, role, keepUntilPlaced: kept };
  });
}
