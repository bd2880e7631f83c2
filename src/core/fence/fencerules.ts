import type { FenceState } from './fencestate.js';
import type { UpstreamValue } from './upstreamvalue.js';

/** Safety guards of the fence. The checker disables one at a time. */
export interface FenceRules {
  /** True if a value read from the store shows that another sidecar has taken the key after us. */
  readonly isSuperseded: (state: FenceState, found: UpstreamValue) => boolean;
  /** True if a write whose answer was lost counts as written before it has been read back. */
  readonly trustsLostAnswer: boolean;
  /** Selects the stored intents that a new incarnation inherits. */
  readonly inheritedIntents: (found: UpstreamValue) => UpstreamValue['intents'];
}
