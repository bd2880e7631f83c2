import type { Ms } from '../../base/index.js';
import { ejectionRules } from './ejectionrules.js';
import type { EjectionState } from './ejectionstate.js';

function isForgotten({ soundCount, rejectedAtMs }: EjectionState, nowMs: Ms): boolean {
  const { forgetCount, forgetMs } = ejectionRules;
  return soundCount >= forgetCount || (soundCount > 0 && nowMs - rejectedAtMs >= forgetMs);
}

/**
 * Ejects an upstream: its answer to a request sent at `sentAtMs` was rejected. Requests that were under way at the last
 * rejection are no further evidence, as one fault may spoil the answers of all of them.
 */
export function onRejected(state: EjectionState, sentAtMs: Ms, nowMs: Ms): EjectionState {
  if (sentAtMs <= state.rejectedAtMs) return state;
  // No probe: the request was sent here because no other upstream was left.
  if (state.isEjected && sentAtMs < state.untilMs) return { ...state, rejectedAtMs: nowMs };
  const rejectedCount = isForgotten(state, nowMs) ? 1 : state.rejectedCount + 1;
  const { firstMs, maxMs } = ejectionRules;
  const forMs = Math.min(maxMs, firstMs * 2 ** (rejectedCount - 1));
  return {
    isEjected: true,
    rejectedAtMs: nowMs,
    untilMs: nowMs + forMs,
    nextProbeMs: -Infinity,
    isProbed: state.isProbed,
    rejectedCount,
    soundCount: 0,
    endlessCount: 0,
  };
}
