import type { Incarnation } from '../../base/index.js';
import { closedBreaker } from './closedbreaker.js';
import type { UpstreamView } from './upstreamview.js';

/**
 * An upstream whose sidecar is back under a new incarnation: a new one, of whose memory, load and health
 * nothing is known. What the earlier incarnation failed or refused is not held against it.
 */
export function renewed(view: UpstreamView, incarnation: Incarnation): UpstreamView {
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
