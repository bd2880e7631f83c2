import type { FenceRules } from './fencerules.js';

/** The guards as they run. */
export const fenceRulesInForce: FenceRules = {
  isOvertaken: (state, found) => found.owner !== state.owner,
  trustsLostAnswer: false,
  inherit: (found) => found.intents,
};
