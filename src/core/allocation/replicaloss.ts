import type { Ms } from '../../base/index.js';
import { allocationRules } from './allocationrules.js';
import { lacksVersion } from './lacksversion.js';
import type { LoadProjection } from './loadprojection.js';
import type { Site } from './site.js';

const MS_PER_S = 1000;
/** A model requested within this time counts as in use. */
const IN_USE_MS = 2250;
/** Share of a model's replicas that is kept while demand is unknown. */
const KEPT_SHARE = 0.6;
/** While demand is unknown, the only replica of a model without requests is worth this many times more. */
const UNKNOWN_FACTOR = 8;
/** Loss of a replica that is not needed: small but positive, so that free memory is used first. */
const SURPLUS_LOSS = 0.02;

/** Returns the loss from evicting a model, over the horizon and its replacement's load time; Infinity forbids it. */
export function replicaLoss(
  projection: LoadProjection,
  site: Site,
  placed: Site['placed'][number],
  loadMs: Ms,
): number {
  const held = projection.held.get(placed.model);
  // The model is no longer in the configuration.
  if (!held) return placed.phase === 'ready' ? 0 : Infinity;
  if (placed.phase !== 'ready') return Infinity;
  const { horizonS, redundancyShare, minStayMs, reachableGain } = allocationRules;
  const { demand, isDemandKnown, engine } = projection.input;
  const modelDemand = demand.get(placed.model);
  const isInUse =
    modelDemand !== undefined && (modelDemand.waiting > 0 || modelDemand.idleMs < IN_USE_MS);
  if (isInUse && placed.ageMs < minStayMs) return Infinity;
  if (lacksVersion(projection, held, site, site)) return Infinity;
  const spanS = horizonS + loadMs / MS_PER_S;
  const remainingCount = held.readyCount - 1;
  if (remainingCount === 0) {
    return reachableGain * (isDemandKnown ? 1 : UNKNOWN_FACTOR) + held.perSecond * spanS;
  }
  if (!isDemandKnown && remainingCount < Math.ceil(held.readyCount * KEPT_SHARE)) return Infinity;
  const redundancyLoss = remainingCount === 1 ? held.perSecond * redundancyShare * horizonS : 0;
  const adapters = Math.ceil((modelDemand?.adaptersInUse ?? 0) / Math.max(1, engine.adapterSlots));
  const adapterLoss = remainingCount < adapters ? reachableGain : 0;
  const late = Math.max(0, projection.lossWithout(held, site)) * spanS;
  return SURPLUS_LOSS + late + redundancyLoss + adapterLoss;
}
