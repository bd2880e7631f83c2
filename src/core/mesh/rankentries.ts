import { hash32 } from '../hash/index.js';
import type { MeshHost } from './meshhost.js';

function relayWeight(host: MeshHost): number {
  return hash32(`relay/${host.id}`);
}

/** Sorts entries into relay order: by rendezvous hash, leaving ones last. The first ones are relays. */
export function rankEntries(entries: readonly MeshHost[]): readonly MeshHost[] {
  const leaving = (host: MeshHost) => Number(host.state === 'leaving');
  return [...entries].sort(
    (a, b) => leaving(a) - leaving(b) || relayWeight(b) - relayWeight(a) || (a.id < b.id ? -1 : 1),
  );
}
