import type { Ms } from '../../base/index.js';
import { draw } from './draw.js';
import type { MeshState } from './meshstate.js';

/** Schedules the next attempt at the store: exponential backoff with full jitter. */
export function scheduleStoreRetry(state: MeshState, nowMs: Ms): MeshState {
  const { storeRetryMs, storeRetryMaxMs } = state.options;
  const failureCount = state.store.failureCount + 1;
  const boundMs = Math.min(storeRetryMaxMs, storeRetryMs * 2 ** (failureCount - 1));
  const { state: next, value } = draw(state, Math.floor(boundMs));
  const retryAtMs = nowMs + storeRetryMs / 2 + value;
  return { ...next, store: { ...next.store, failureCount, retryAtMs } };
}
