import type { Ms, UpstreamId } from '../../base/index.js';
import type { CellUpstream } from '../placement/index.js';
import type { PlannerState } from './plannerstate.js';

/** Time after which a load that no record shows is taken for lost. */
const LOST_MS = 20_000;
/** Time in which a new place is not given up for demand elsewhere. */
const YOUNG_MS = 30_000;

type Place = PlannerState['ordered'][number];

function phaseOf(
  upstreams: ReadonlyMap<UpstreamId, CellUpstream>,
  { upstream, model }: Place,
): string | undefined {
  const bin = upstreams.get(upstream);
  if (bin?.state !== 'usable') return 'lost';
  return bin.residents.find((resident) => resident.model === model)?.phase;
}

/** Brings the list of ordered loads up to date with what the records show. */
export function trackLoads(
  { ordered, young }: PlannerState,
  upstreams: readonly CellUpstream[],
  nowMs: Ms,
): Pick<PlannerState, 'ordered' | 'young'> {
  const byId = new Map(upstreams.map((upstream) => [upstream.id, upstream]));
  const open: Place[] = [];
  const grown: Place[] = young.filter(({ atMs }) => nowMs - atMs < YOUNG_MS);
  for (const place of ordered) {
    const phase = phaseOf(byId, place);
    if (phase === 'ready') grown.push({ ...place, atMs: nowMs });
    else if (phase === 'loading') open.push({ ...place, atMs: nowMs });
    else if (phase === undefined && nowMs - place.atMs < LOST_MS) open.push(place);
  }
  return { ordered: open, young: grown };
}
