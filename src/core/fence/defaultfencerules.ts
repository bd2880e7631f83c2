import type { FenceRules } from './fencerules.js';

/** The guards used in production. */
export const defaultFenceRules: FenceRules = {
  isSuperseded: (state, found) => found.owner !== state.owner,
  trustsLostAnswer: false,
  inheritedIntents: (found) => found.intents,
};
