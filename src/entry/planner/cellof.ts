import type { AdapterId, Incarnation, ModelId, UpstreamId } from '../../base/index.js';
import type { ServiceDocument } from '../../core/document/index.js';
import type { MemberPhase } from '../../core/member/index.js';
import type { CellModel, CellUpstream } from '../../core/placement/index.js';
import type { Cell, Counter } from '../../core/planner/index.js';
import type { UpstreamRecord } from '../../wire/index.js';

type Records = ReadonlyMap<string, UpstreamRecord>;
type Phases = ReadonlyMap<UpstreamId, MemberPhase>;

const LEAVING = 'leaving';

/**
 * Planning state by membership phase. A suspect upstream counts as lost: its models get replicas elsewhere, while it keeps
 * those that it has loaded.
 */
const CELL_STATES: Readonly<Record<MemberPhase, CellUpstream['state']>> = {
  joining: 'usable',
  ready: 'usable',
  suspect: 'lost',
  leaving: LEAVING,
  gone: 'lost',
};

function stateOf(record: UpstreamRecord | undefined, phase: MemberPhase): CellUpstream['state'] {
  if (!record || record.phase === 'gone') return 'lost';
  return record.phase === LEAVING ? LEAVING : CELL_STATES[phase];
}

function modelsOf({ models, adapters, kinds }: ServiceDocument): CellModel[] {
  const weights = new Map(kinds.map(({ name, weight }) => [name, weight]));
  return models.map(({ id, version, sizeBytes, defaultKind }) => ({
    id,
    version,
    sizeBytes,
    adapters: adapters.filter(({ model }) => model === id),
    weight: weights.get(defaultKind) ?? 1,
  }));
}

function upstreamsOf(
  { groups }: ServiceDocument,
  records: Records,
  phases: Phases,
): CellUpstream[] {
  const engines = groups.filter(({ type }) => type === 'engine');
  return engines.flatMap((group) =>
    group.upstreams.map(({ id }) => {
      const record = records.get(id);
      return {
        id,
        availabilityZone: group.availabilityZone,
        capacityBytes: group.memoryBytes - group.kvCacheReserveBytes,
        slots: group.slots,
        role: group.role,
        state: stateOf(record, phases.get(id) ?? 'joining'),
        residents: (record?.residents ?? []).map(({ model, version, phase, adapters }) => ({
          model: model as ModelId,
          version,
          phase: phase as CellUpstream['residents'][number]['phase'],
          adapters: adapters as AdapterId[],
        })),
      };
    }),
  );
}

function countersOf(records: Records): Counter[] {
  return [...records.values()].flatMap(({ upstream, incarnation, demand }) =>
    demand.map(({ model, askedCount, refusedCount, serviceTimeMs }) => ({
      upstream: upstream as UpstreamId,
      incarnation: incarnation as Incarnation,
      model: model as ModelId,
      askedCount,
      refusedCount,
      serviceTimeMs,
    })),
  );
}

/** Returns the planner's view of a service in a region, from the document, the sidecars' records and membership. */
export function cellOf(document: ServiceDocument, records: Records, phases: Phases): Cell {
  return {
    models: modelsOf(document),
    upstreams: upstreamsOf(document, records, phases),
    counters: countersOf(records),
    movePenalty: document.placement.movePenalty,
    loadsPerSecond: document.weightStore.loadsPerSecond,
    parallelLoads: document.weightStore.parallelLoads,
  };
}
