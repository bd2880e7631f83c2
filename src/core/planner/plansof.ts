import type { ModelId, UpstreamId } from '../../base/index.js';
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

/** True if the model is ready on another usable upstream. */
function isReadyElsewhere({ upstreams }: Cell, here: UpstreamId, model: ModelId): boolean {
  return upstreams.some(
    ({ id, state, residents }) =>
      id !== here &&
      state === 'usable' &&
      residents.some((held) => held.model === model && held.phase === 'ready'),
  );
}

/**
 * True if the model stays reachable while this upstream replaces an old version: the new version is ready elsewhere,
 * or any version is ready on an upstream with a lower id. The order by id keeps holders from all changing at once.
 */
function mayReplaceHere(
  { upstreams }: Cell,
  here: UpstreamId,
  model: ModelId,
  version: string | undefined,
): boolean {
  return upstreams.some(
    ({ id, state, residents }) =>
      id !== here &&
      state === 'usable' &&
      residents.some((held) => {
        if (held.model !== model || held.phase !== 'ready') return false;
        return held.version === version || id < here;
      }),
  );
}

/** Returns each upstream's part of a plan, except for lost upstreams. */
export function plansOf(plan: CellPlan, cell: Cell, sequence: number): readonly Place[] {
  const versions = new Map(cell.models.map(({ id, version }) => [id, version]));
  const live = cell.upstreams.filter(({ state }) => state !== 'lost');
  return live.map(({ id: upstream, role, residents }) => {
    const here = plan.placed.filter((place) => place.upstream === upstream);
    const wanted = here.filter(({ reason }) => reason !== 'kept');
    const models = wanted.map(({ model, adapters, reason }) => ({
      model,
      version: versions.get(model) ?? '',
      adapters,
      urgency: URGENCY[reason],
    }));
    const named = new Set(wanted.map(({ model }) => model));
    const keepUntilPlaced = residents
      .filter(({ model, version }) => {
        if (!versions.has(model)) return false;
        if (!named.has(model)) return !isReadyElsewhere(cell, upstream, model);
        const wantedVersion = versions.get(model);
        if (version === wantedVersion) return false;
        return !mayReplaceHere(cell, upstream, model, wantedVersion);
      })
      .map(({ model }) => model);
    return { type: 'place', upstream, sequence, models, role, keepUntilPlaced };
  });
}
