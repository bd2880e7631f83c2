import type { Ms } from '../../base/index.js';
import { ejectionRules } from './ejectionrules.js';
import type { EjectionState } from './ejectionstate.js';
import { initialEjection } from './initialejection.js';

/** Ends the ejection of an upstream that has given a sound answer to a request sent at `sentAtMs`. */
export function onSound(state: EjectionState, sentAtMs: Ms): EjectionState {
  // Most upstreams have nothing to forget.
  if (state === initialEjection() || sentAtMs <= state.rejectedAtMs) return state;
  const soundCount = state.soundCount + 1;
  const isForgotten = state.rejectedCount === 0 || soundCount >= ejectionRules.forgetCount;
  if (isForgotten && !state.isProbed) return initialEjection();
  return { ...state, isEjected: false, soundCount, endlessCount: 0 };
}
