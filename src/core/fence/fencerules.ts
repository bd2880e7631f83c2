import type { FenceState } from './fencestate.js';
import type { UpstreamValue } from './upstreamvalue.js';

/** The guards of the hold on an upstream's key. The checker turns one off at a time. */
export interface FenceRules {
  /** Whether a value that was found in the store shows that another sidecar came after us. */
  readonly isOvertaken: (state: FenceState, found: UpstreamValue) => boolean;
  /** Whether a write without an answer counts as written before it has been read back. */
  readonly trustsLostAnswer: boolean;
  /** Which of the intents that were found a successor takes over. */
  readonly inherit: (found: UpstreamValue) => UpstreamValue['intents'];
}
