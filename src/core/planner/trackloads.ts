import type { Ms, UpstreamId } from '../../base/index.js';
import type { CellUpstream } from '../placement/index.js';
import type { PlannerState } from './plannerstate.js';

/** An ordered load that no sidecar has reported for this time is considered lost. */
const LOAD_LOST_MS = 20_000;
/** For this time after its load a replica is not evicted for the demand of other models. */
const RECENT_MS = 30_000;

type Place = PlannerState['ordered'][number];

function phaseOf(
  upstreams: ReadonlyMap<UpstreamId, CellUpstream>,
  { upstream, model }: Place,
): string | undefined {
  const bin = upstreams.get(upstream);
  if (bin?.state !== 'usable') return 'lost';
  return bin.residents.find((resident) => resident.model === model)?.phase;
}

/** Updates the lists of ordered loads and recent replicas from the upstreams' records. */
export function trackLoads(
  { ordered, recent }: PlannerState,
  upstreams: readonly CellUpstream[],
  nowMs: Ms,
): Pick<PlannerState, 'ordered' | 'recent'> {
  const byId = new Map(upstreams.map((upstream) => [upstream.id, upstream]));
  const open: Place[] = [];
  const becameReady: Place[] = recent.filter(({ atMs }) => nowMs - atMs < RECENT_MS);
  for (const place of ordered) {
    const phase = phaseOf(byId, place);
    if (phase === 'ready') becameReady.push({ ...place, atMs: nowMs });
    else if (phase === 'loading') open.push({ ...place, atMs: nowMs });
    else if (phase === undefined && nowMs - place.atMs < LOAD_LOST_MS) open.push(place);
  }
  return { ordered: open, recent: becameReady };
}
