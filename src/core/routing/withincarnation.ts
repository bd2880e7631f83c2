import type { Incarnation } from '../../base/index.js';
import { closedBreaker } from './closedbreaker.js';
import type { UpstreamView } from './upstreamview.js';

/**
 * Returns the view of an upstream whose sidecar restarted under a new incarnation: nothing is known of its memory, load
 * and health. Failures and refusals of the previous incarnation do not count against it.
 */
export function withIncarnation(view: UpstreamView, incarnation: Incarnation): UpstreamView {
  return {
    ...view,
    incarnation,
    residents: new Map(),
    missing: new Set(),
    load: undefined,
    breaker: closedBreaker,
    fullUntilMs: new Map(),
  };
}
