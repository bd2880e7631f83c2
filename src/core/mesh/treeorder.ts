import { byRendezvous } from './byrendezvous.js';
import { isDocument } from './isdocument.js';
import type { MeshState } from './meshstate.js';

/**
 * Returns the addresses in the order of the fan-out tree for a key: relays, then other entries, then (for
 * a document) the sidecars that it names. Nodes with the same host list compute the same tree. Differing
 * trees only delay records, since every node also pulls.
 */
export function treeOrder(state: MeshState, key: string): readonly string[] {
  const addresses = state.entries.map(({ address }) => address);
  const relays = addresses.slice(0, state.options.relayCount);
  const rest = byRendezvous(addresses.slice(state.options.relayCount), key);
  if (!isDocument(key)) return [...relays, ...rest];
  const members = state.records.get(key)?.members ?? [];
  return [...new Set([...relays, ...rest, ...byRendezvous(members, key)])];
}
