import type { Ms } from '../../base/index.js';
import { allocationRules } from './allocationrules.js';
import type { Held } from './held.js';
import type { Outlook } from './outlook.js';
import type { Site } from './site.js';

const MS_PER_S = 1000;
/** Part of the callers that were refused for want of a model that come back and find it. */
const COME_BACK_SHARE = 0.5;

/** What one more place of a model at an engine is worth over a horizon; 0 if nothing. */
export function placeGain(outlook: Outlook, held: Held, site: Site, loadMs: Ms): number {
  const { horizonS, insuredShare, reachableGain, absentGainPerS } = allocationRules;
  const { demand, engine } = outlook.input;
  const asked = demand.get(held.model);
  const count = held.sites.length;
  if (!asked) return count === 0 ? reachableGain : 0;
  const missed = asked.waiting + asked.missed * COME_BACK_SHARE;
  if (count === 0) {
    const absent = (absentGainPerS * asked.absentMs) / MS_PER_S;
    return reachableGain + held.perSecond * horizonS + missed + absent;
  }
  const late = Math.max(0, outlook.gainAt(held, site.level)) * horizonS;
  const isAbsent = held.readyCount === 0;
  const soonerS = isAbsent ? Math.max(0, held.comingInMs - loadMs) / MS_PER_S : 0;
  const insurance = count === 1 ? held.perSecond * insuredShare * horizonS : 0;
  const adapters = Math.ceil(asked.adaptersInUse / Math.max(1, engine.adapterSlots));
  const crowded = count < adapters ? reachableGain : 0;
  return late + insurance + crowded + soonerS * held.perSecond;
}
