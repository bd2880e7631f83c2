import { holtLog, peakHold, smooth } from '../../src/core/forecast/index.js';
import {
  agency,
  corePlacement,
  coreQueue,
  coreRoute,
  leastConnections,
  loadOnDemand,
  reenvio,
  roundRobin,
  staticPlacement,
  type Fault,
  type MakePlacement,
  type MakeRoute,
} from '../experiment/index.js';
import { pack } from '../experiment/baseline/pack.js';
import { series, type Policies } from './series.js';

const DEPLOYMENTS = [agency, reenvio];
const LOADS = [0.6, 0.8, 1.0];
const PENALTIES = [0, 1, 3, 10, 30, 100, 300, 1_000];
const ZONE_LOST_AT_MS = 120_000;
const ZONE_BACK_AT_MS = 360_000;

function withPlacement(placement: MakePlacement): Policies {
  return { queue: coreQueue, route: coreRoute, placement };
}

function withRoute(route: MakeRoute): Policies {
  return { queue: coreQueue, route, placement: corePlacement() };
}

/** Returns the same policy with an initial placement that ignores popularity. */
function withoutPopularity(make: MakePlacement): MakePlacement {
  return (deployment, seed) => ({
    ...make(deployment, seed),
    start: (view) => pack(deployment, new Map(), view),
  });
}

const PLACEMENTS = {
  planner: withPlacement(corePlacement()),
  loadOnDemand: withPlacement(loadOnDemand),
  static: withPlacement(staticPlacement),
};

/** Fault sets by name. The store stays lost for the whole ten minutes of the run. */
function faultsOf(zone: string): Readonly<Record<string, readonly Fault[]>> {
  const lost: Fault = { atMs: ZONE_LOST_AT_MS, type: 'zone-lost', zone };
  const back: Fault = { atMs: ZONE_BACK_AT_MS, type: 'zone-back', zone };
  const planner: Fault = { atMs: 1, type: 'planner-lost' };
  const store: Fault = { atMs: 1, type: 'store-lost' };
  return {
    zone: [lost, back],
    planner: [planner],
    store: [store],
    'zone and planner': [planner, lost, back],
    'zone and store': [store, lost, back],
    all: [planner, store, lost, back],
  };
}

/** Parts of the study by name. */
const PARTS: Readonly<Record<string, () => readonly object[]>> = {
  moves: () =>
    DEPLOYMENTS.flatMap((deployment) =>
      LOADS.map((load) => series({ deployment, load }, PLACEMENTS)),
    ),
  penalty: () => {
    const sets = PENALTIES.map((movePenalty) => [
      `penalty ${movePenalty}`,
      withPlacement(withoutPopularity(corePlacement({ movePenalty }))),
    ]);
    const all = Object.fromEntries([
      ...sets,
      ['static', withPlacement(withoutPopularity(staticPlacement))],
    ]);
    return [series({ deployment: reenvio, load: 0.8 }, all)];
  },
  reach: () =>
    DEPLOYMENTS.flatMap((deployment) => {
      const zone = deployment.document.groups[0]?.availabilityZone ?? '';
      return Object.entries(faultsOf(zone)).map(([name, faults]) => ({
        name,
        ...series({ deployment, load: 0.4, faults }, PLACEMENTS),
      }));
    }),
  routes: () =>
    DEPLOYMENTS.flatMap((deployment) =>
      LOADS.map((load) =>
        series(
          { deployment, load },
          {
            core: withRoute(coreRoute),
            leastConnections: withRoute(leastConnections),
            roundRobin: withRoute(roundRobin),
          },
        ),
      ),
    ),
  variants: () =>
    DEPLOYMENTS.map((deployment) =>
      series(
        { deployment, load: 0.8 },
        {
          smooth: withPlacement(corePlacement({ forecaster: smooth })),
          peakHold: withPlacement(corePlacement({ forecaster: peakHold })),
          holtLog: withPlacement(corePlacement({ forecaster: holtLog })),
          sparesFirst: withPlacement(corePlacement({ spares: 'first' })),
          noSpares: withPlacement(corePlacement({ spares: 'none' })),
        },
      ),
    ),
};

/** Compares placement and routing with their baselines in virtual time. The argument names the part. */
export function placementStudy([part = 'moves']: readonly string[]): Promise<object> {
  return Promise.resolve({ part, runs: PARTS[part]?.() ?? Object.keys(PARTS) });
}
