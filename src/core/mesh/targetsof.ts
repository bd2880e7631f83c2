import type { Ms } from '../../base/index.js';
import { byRendezvous } from './byrendezvous.js';
import { isDocument } from './isdocument.js';
import { isSuspect } from './issuspect.js';
import type { MeshState } from './meshstate.js';
import { neighbours } from './neighbours.js';

/** Key of the tree that all upstream records share, so that they can be batched. */
const UPSTREAM_TREE = 'upstream/';

/** Returns the entry that a sidecar publishes its own record to: the first of its entries not suspected. */
function firstEntry(state: MeshState, nowMs: Ms): readonly string[] {
  const addresses = state.entries.map(({ address }) => address);
  const own = byRendezvous(addresses, state.self.address).slice(0, state.options.sidecarEntries);
  const first = own.find((address) => !isSuspect(state, address, nowMs)) ?? own[0];
  return first === undefined ? [] : [first];
}

/** Returns the peers that a record is pushed to. `from` is the peer that sent it, or empty. */
export function targetsOf(
  state: MeshState,
  key: string,
  from: string,
  nowMs: Ms,
): readonly string[] {
  if (isDocument(key)) {
    const { parent, children } = neighbours(state, key, nowMs);
    // Records from the store also go to the parent, so that the second relay notices that the first is dead.
    return from === '' && parent ? [parent, ...children] : children;
  }
  if (state.self.role === 'sidecar') return firstEntry(state, nowMs);
  const { parent, children } = neighbours(state, UPSTREAM_TREE, nowMs);
  return parent ? [parent, ...children] : children;
}
