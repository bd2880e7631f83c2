import type { Ms } from '../../base/index.js';
import { ejectionRules } from './ejectionrules.js';
import type { EjectionState } from './ejectionstate.js';
import { onRejected } from './onrejected.js';

/**
 * Counts an answer to a request sent at `sentAtMs` that had begun and had no end when the request's time was over.
 * Weaker than a rejection, but as good as one for an upstream that is ejected already.
 */
export function onEndless(state: EjectionState, sentAtMs: Ms, nowMs: Ms): EjectionState {
  if (sentAtMs <= state.rejectedAtMs) return state;
  const endlessCount = state.endlessCount + 1;
  const isEnough = state.isEjected || endlessCount >= ejectionRules.endlessCount;
  return isEnough ? onRejected(state, sentAtMs, nowMs) : { ...state, endlessCount };
}
