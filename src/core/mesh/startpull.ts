import type { Ms } from '../../base/index.js';
import { digestOf } from './digestof.js';
import type { MeshChange } from './meshchange.js';
import type { MeshState } from './meshstate.js';

/** What a pull compares: a hash over the documents, the versions under some prefixes, or all versions. */
type Scope = 'light' | 'some' | 'all';

const DOCUMENTS = ['document/'];

/** Pulls the records that this process lacks from a peer. One pull is in flight at a time. */
export function startPull(
  state: MeshState,
  to: string,
  scope: Scope,
  nowMs: Ms,
  prefixes: readonly string[] = DOCUMENTS,
): MeshChange {
  const { self, options, pull } = state;
  const isSidecar = self.role === 'sidecar';
  const requested = scope === 'all' ? [] : prefixes;
  const interests = isSidecar ? self.interests : requested;
  const digest = digestOf(state, interests, !isSidecar && scope === 'light');
  const full = isSidecar || scope === 'all';
  const catchingUp = state.catchUp.phase !== 'current';
  const intervalMs = catchingUp ? options.catchUpPullIntervalMs : options.pullIntervalMs;
  const next = {
    ...pull,
    inFlight: { to, sinceMs: nowMs, scope: isSidecar ? ('all' as const) : scope },
    nextAtMs: nowMs + intervalMs,
    nextFullAtMs: full ? nowMs + options.fullPullIntervalMs : pull.nextFullAtMs,
  };
  return { state: { ...state, pull: next }, effects: [{ type: 'pull', to, digest }] };
}
