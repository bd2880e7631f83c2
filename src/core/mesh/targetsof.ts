import type { Ms } from '../../base/index.js';
import { byRendezvous } from './byrendezvous.js';
import { isDocument } from './isdocument.js';
import { isSuspect } from './issuspect.js';
import type { MeshState } from './meshstate.js';
import { neighbours } from './neighbours.js';

/** Key of the one tree that the records of upstreams go along, so that they share batches. */
const UPSTREAM_TREE = 'upstream/';

/** Where a sidecar hands in its own record: the first of its entries that answers. */
function firstEntry(state: MeshState, nowMs: Ms): readonly string[] {
  const addresses = state.entries.map(({ address }) => address);
  const own = byRendezvous(addresses, state.self.address).slice(0, state.options.sidecarEntries);
  const first = own.find((address) => !isSuspect(state, address, nowMs)) ?? own[0];
  return first === undefined ? [] : [first];
}

/** Peers that a record is passed on to. `from` is the peer that it came from, or empty. */
export function targetsOf(
  state: MeshState,
  key: string,
  from: string,
  nowMs: Ms,
): readonly string[] {
  if (isDocument(key)) {
    const { parent, children } = neighbours(state, key, nowMs);
    // What comes from the store also goes up: so the second relay learns that the first is dead.
    return from === '' && parent ? [parent, ...children] : children;
  }
  if (state.self.role === 'sidecar') return firstEntry(state, nowMs);
  const { parent, children } = neighbours(state, UPSTREAM_TREE, nowMs);
  return parent ? [parent, ...children] : children;
}
