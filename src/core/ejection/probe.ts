import type { Ms } from '../../base/index.js';
import { ejectionRules } from './ejectionrules.js';
import type { EjectionState } from './ejectionstate.js';

/** Probes of ejected upstreams: one request at a time that shows whether the upstream is sound again. */
export const probe = {
  /** Returns true if a request may be sent to an ejected upstream as its probe. */
  isDue(state: EjectionState, mayRepeat: boolean, nowMs: Ms): boolean {
    const { isEjected, isProbed, untilMs, nextProbeMs } = state;
    const furtherMs = mayRepeat ? 0 : ejectionRules.unrepeatableMs;
    return isEjected && !isProbed && nowMs >= Math.max(untilMs + furtherMs, nextProbeMs);
  },

  begin(state: EjectionState): EjectionState {
    return { ...state, isProbed: true };
  },

  /** Ends a probe without a verdict; what its answer shows is recorded after that. */
  end(state: EjectionState, nowMs: Ms): EjectionState {
    if (!state.isProbed) return state;
    return { ...state, isProbed: false, nextProbeMs: nowMs + ejectionRules.reprobeMs };
  },
} as const;
