import type { KindName, Ms } from '../../base/index.js';
import { routingLimits } from './routinglimits.js';
import type { UpstreamView } from './upstreamview.js';

/** Returns when an upstream can take a request of the kind: `nowMs` if it can now, `Infinity` if it is leaving. */
export function freeAtMs(view: UpstreamView, kind: KindName, nowMs: Ms): Ms {
  if (view.phase === 'leaving' || view.phase === 'gone') return Infinity;
  const { breaker } = view;
  const fullUntilMs = Math.max(nowMs, view.fullUntilMs.get(kind) ?? nowMs);
  if (breaker.phase === 'closed') return fullUntilMs;
  if (breaker.phase === 'open') {
    return Math.max(fullUntilMs, breaker.openedAtMs + breaker.coolMs);
  }
  return Math.max(fullUntilMs, breaker.triedAtMs + routingLimits.trialTimeoutMs);
}
