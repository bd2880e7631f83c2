import type { Ms } from '../../base/index.js';
import { allocationRules } from './allocationrules.js';
import type { Outlook } from './outlook.js';
import type { Site } from './site.js';

const MS_PER_S = 1000;
/** A model that was asked for within this time counts as in use. */
const IN_USE_MS = 2250;
/** Part of a model's replicas that is kept while the demand is not known. */
const KEPT_SHARE = 0.6;
/** While the demand is not known, the only place of a model that nobody asked for yet is worth this many times more. */
const UNKNOWN_FACTOR = 8;
/** A replica that nobody needs still costs this little, so that free places are taken first. */
const SURPLUS_LOSS = 0.02;

/** What is lost with a model's place at an engine, over a horizon and the time until the new one is there. */
export function placeLoss(
  outlook: Outlook,
  site: Site,
  placed: Site['placed'][number],
  loadMs: Ms,
): number {
  const held = outlook.held.get(placed.model);
  // A model that the configuration does not name any more.
  if (!held) return placed.phase === 'ready' ? 0 : Infinity;
  if (placed.phase !== 'ready') return Infinity;
  const { horizonS, insuredShare, leastStayMs, reachableGain } = allocationRules;
  const { demand, isDemandKnown, engine } = outlook.input;
  const asked = demand.get(placed.model);
  const isInUse = asked !== undefined && (asked.waiting > 0 || asked.idleMs < IN_USE_MS);
  if (isInUse && placed.ageMs < leastStayMs) return Infinity;
  const spanS = horizonS + loadMs / MS_PER_S;
  const leftCount = held.readyCount - 1;
  if (leftCount === 0) {
    return reachableGain * (isDemandKnown ? 1 : UNKNOWN_FACTOR) + held.perSecond * spanS;
  }
  if (!isDemandKnown && leftCount < Math.ceil(held.readyCount * KEPT_SHARE)) return Infinity;
  const insurance = leftCount === 1 ? held.perSecond * insuredShare * horizonS : 0;
  const adapters = Math.ceil((asked?.adaptersInUse ?? 0) / Math.max(1, engine.adapterSlots));
  const crowded = leftCount < adapters ? reachableGain : 0;
  const late = Math.max(0, outlook.lossWithout(held, site)) * spanS;
  return SURPLUS_LOSS + late + insurance + crowded;
}
