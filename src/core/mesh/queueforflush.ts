import type { MeshState } from './meshstate.js';

/** Queues keys of records for neighbours until the next flush. */
export function queueForFlush(
  state: MeshState,
  later: ReadonlyMap<string, readonly string[]>,
): MeshState {
  if (later.size === 0) return state;
  const pending = new Map(state.pending);
  for (const [to, keys] of later) {
    pending.set(to, new Set([...(pending.get(to) ?? []), ...keys]));
  }
  return { ...state, pending };
}
