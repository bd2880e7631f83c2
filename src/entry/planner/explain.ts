import type { ModelId } from '../../base/index.js';
import type { ServiceDocument } from '../../core/document/index.js';
import type { Explanation } from '../../shell/entries/index.js';
import { UpstreamRecord } from '../../wire/index.js';
import type { Context, Router } from '../component/index.js';
import type { Planner } from './planner.js';

const UPSTREAM_PREFIX = 'upstream/';

type Sources = Pick<Context, 'board' | 'settings'> & {
  readonly router: Router;
  readonly planner: Planner;
};

function residentsOf(
  { board, router }: Sources,
  { service }: ServiceDocument,
  model: ModelId,
): Explanation['residents'] {
  const phases = router.phases(service);
  const records = board
    .list(`${UPSTREAM_PREFIX}${service}/`)
    .map(({ value }) => UpstreamRecord.decode(value));
  return records.flatMap(({ upstream, availabilityZone, residents }) =>
    residents
      .filter((resident) => resident.model === model)
      .map(({ phase, adapters }) => {
        const member = phases.get(upstream as never) ?? 'joining';
        return { upstream, availabilityZone, phase, adapters, member };
      }),
  );
}

function plannedOf(
  { planner }: Sources,
  { service }: ServiceDocument,
  model: ModelId,
): Explanation['planner'] {
  const explained = planner.explain(service);
  if (!explained) return undefined;
  const { epoch, states } = explained;
  const plans = states.flatMap(({ plan }) => plan ?? []);
  const places = plans.flatMap(({ placed, waiting }) => [...placed, ...waiting]);
  const known = states.flatMap(({ demand }) => demand.models.get(model) ?? []);
  const levels = known.map(({ rate }) => (rate as { readonly level?: number }).level ?? 0);
  return {
    epoch,
    forecastPerSecond: levels.reduce((sum, each) => sum + each, 0),
    serviceTimeMs: known[0]?.serviceTimeMs ?? 0,
    places: places
      .filter((place) => place.model === model)
      .map(({ upstream, reason, gain, cost }) => ({ upstream, reason, gain, cost })),
    unplaced: plans.some(({ unplaced }) => unplaced.includes(model)),
  };
}

/** Explains why a model is at its upstreams; one explanation for each service that offers it. */
export function explain(
  sources: Sources,
  documents: readonly ServiceDocument[],
  model: ModelId,
): readonly Explanation[] {
  const offering = documents.filter(({ models }) => models.some(({ id }) => id === model));
  return offering.map((document) => ({
    hostId: sources.settings.hostId,
    service: document.service,
    model,
    movePenalty: document.placement.movePenalty,
    residents: residentsOf(sources, document, model),
    planner: plannedOf(sources, document, model),
  }));
}
