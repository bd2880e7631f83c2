import type { Ms } from '../../base/index.js';
import { isDocument } from './isdocument.js';
import type { MeshChange } from './meshchange.js';
import type { MeshRecord } from './meshrecord.js';
import type { MeshState } from './meshstate.js';
import { pushesOf } from './pushesof.js';
import { targetsOf } from './targetsof.js';
import { waitFor } from './waitfor.js';

/**
 * A peer did not answer: it is passed by for a while, and what was meant for it (`keys`, and what
 * still waits) goes to the neighbours that this process now has in its place.
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
  const now = new Map<string, MeshRecord[]>();
  for (const key of new Set([...keys, ...(state.pending.get(address) ?? [])])) {
    const record = state.records.get(key);
    if (!record) continue;
    const before = targetsOf(state, key, '', nowMs);
    for (const to of targetsOf(after, key, '', nowMs)) {
      if (before.includes(to) || to === address) continue;
      if (isDocument(key)) now.set(to, [...(now.get(to) ?? []), record]);
      else later.set(to, [...(later.get(to) ?? []), key]);
    }
  }
  return { state: waitFor(after, later), effects: pushesOf(after, now) };
}
