import type { Ms } from '../../base/index.js';
import { isDocument } from './isdocument.js';
import type { MeshChange } from './meshchange.js';
import type { MeshRecord } from './meshrecord.js';
import type { MeshState } from './meshstate.js';
import { pushesOf } from './pushesof.js';
import { targetsOf } from './targetsof.js';
import { queueForFlush } from './queueforflush.js';

/**
 * Marks a peer that did not answer as suspect. The records meant for it (`keys` and those queued) go to
 * the neighbours that replace it in the trees.
 */
export function suspect(
  state: MeshState,
  address: string,
  keys: readonly string[],
  nowMs: Ms,
): MeshChange {
  const suspects = new Map(state.suspects).set(address, nowMs + state.options.suspectMs);
  const pending = new Map(state.pending);
  pending.delete(address);
  const after = { ...state, suspects, pending };
  const later = new Map<string, string[]>();
  const immediate = new Map<string, MeshRecord[]>();
  for (const key of new Set([...keys, ...(state.pending.get(address) ?? [])])) {
    const record = state.records.get(key);
    if (!record) continue;
    const before = targetsOf(state, key, '', nowMs);
    for (const to of targetsOf(after, key, '', nowMs)) {
      if (before.includes(to) || to === address) continue;
      if (isDocument(key)) immediate.set(to, [...(immediate.get(to) ?? []), record]);
      else later.set(to, [...(later.get(to) ?? []), key]);
    }
  }
  return { state: queueForFlush(after, later), effects: pushesOf(after, immediate) };
}
