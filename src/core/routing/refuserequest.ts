import type { Ms } from '../../base/index.js';
import type { Executed } from '../../wire/index.js';
import { refuse } from '../refusal/index.js';
import type { RouteWant } from './routewant.js';
import type { RoutingChange } from './routingchange.js';
import type { RoutingState } from './routingstate.js';

/** Refuses a request at once. It was not sent to any upstream unless `executed` says otherwise. */
export function refuseRequest(
  state: RoutingState,
  { requestId }: RouteWant,
  reason: {
    readonly type: string;
    readonly detail: string;
    /** Counted from now. */
    readonly retryAfterMs?: Ms;
    readonly executed?: Executed;
  },
): RoutingChange {
  const { type, detail, executed, retryAfterMs = 0 } = reason;
  const refusal = refuse(type, detail, { executed, retryAfterMs: Math.max(0, retryAfterMs) });
  return { state, effects: [{ type: 'refuse', requestId, refusal }] };
}
