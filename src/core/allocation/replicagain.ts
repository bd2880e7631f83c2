import type { Ms } from '../../base/index.js';
import { allocationRules } from './allocationrules.js';
import type { HeldModel } from './heldmodel.js';
import { lacksVersion } from './lacksversion.js';
import type { LoadProjection } from './loadprojection.js';
import type { Site } from './site.js';

const MS_PER_S = 1000;
/** Share of the callers refused for a missing model that retry and then find it. */
const RETRY_SHARE = 0.5;

/** Returns the value of another replica of a model on an engine over the horizon; 0 if it has none. */
export function replicaGain(
  projection: LoadProjection,
  held: HeldModel,
  site: Site,
  loadMs: Ms,
): number {
  const { horizonS, redundancyShare, reachableGain, absentGainPerS, continuedGain } =
    allocationRules;
  const { demand, engine } = projection.input;
  const modelDemand = demand.get(held.model);
  const count = held.sites.length;
  if (!modelDemand) return count === 0 ? reachableGain : 0;
  const continued = lacksVersion(projection, held, site) ? continuedGain : 0;
  const missed = modelDemand.waiting + modelDemand.missed * RETRY_SHARE;
  if (count === 0) {
    const absent = (absentGainPerS * modelDemand.absentMs) / MS_PER_S;
    const share = projection.firstReplicaShare(held, site);
    return reachableGain + held.perSecond * horizonS * share + missed + absent + continued;
  }
  const late = Math.max(0, projection.gainAt(held, site)) * horizonS;
  const isAbsent = held.readyCount === 0;
  const soonerS = isAbsent ? Math.max(0, held.readyInMs - loadMs) / MS_PER_S : 0;
  const redundancyGain = count === 1 ? held.perSecond * redundancyShare * horizonS : 0;
  const adapters = Math.ceil(modelDemand.adaptersInUse / Math.max(1, engine.adapterSlots));
  const adapterGain = count < adapters ? reachableGain : 0;
  return late + redundancyGain + adapterGain + continued + soonerS * held.perSecond;
}
