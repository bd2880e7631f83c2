import type { Ms } from '../../base/index.js';
import type { ResidencyState } from './residencystate.js';

/** Returns the expected time until a model's load is done; undefined if it is not loading. */
export function readyInMs(state: ResidencyState, model: string, nowMs: Ms): Ms | undefined {
  for (const { order, lastSentAtMs } of state.ledger.openOrders.values()) {
    if (order.model !== model || order.action !== 'load-model') continue;
    const doneAtMs = lastSentAtMs + (order.sizeBytes ?? 0) / state.loadBytesPerMs;
    return Math.max(0, doneAtMs - nowMs);
  }
  return undefined;
}
