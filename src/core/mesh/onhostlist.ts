import type { Ms } from '../../base/index.js';
import { chain } from './chain.js';
import { catchUp } from './catchup.js';
import type { MeshChange } from './meshchange.js';
import type { MeshHost } from './meshhost.js';
import type { MeshState } from './meshstate.js';
import { neighbours } from './neighbours.js';
import { promptPull } from './promptpull.js';
import { rankEntries } from './rankentries.js';

const UPSTREAM_TREE = 'upstream/';

/**
 * Pulls all records from a new parent in the tree of upstream records. The digest of the pull also shows
 * the parent what this process holds.
 */
function syncWithNewParent(before: MeshState, after: MeshState, nowMs: Ms): MeshChange {
  const { parent } = neighbours(after, UPSTREAM_TREE, nowMs);
  const known = neighbours(before, UPSTREAM_TREE, nowMs).parent;
  const isNew = parent !== undefined && parent !== known;
  if (!isNew || after.self.role === 'sidecar') return { state: after, effects: [] };
  return promptPull(after, parent, [], nowMs);
}

/** Handles a reading of the host list, from which relays and trees are computed. */
export function onHostList(
  state: MeshState,
  event: { readonly entries: readonly MeshHost[]; readonly listedIds: readonly string[] },
  nowMs: Ms,
): MeshChange {
  const entries = rankEntries(event.entries);
  // Peers reach this process at its listed address, which may differ from that of its listener.
  const address = entries.find(({ id }) => id === state.self.id)?.address ?? state.self.address;
  const sinceMs = nowMs - state.options.expiryMs;
  const recent = [...state.listedAtMs].filter(([, atMs]) => atMs >= sinceMs);
  const listedAtMs = new Map(recent);
  for (const id of event.listedIds) listedAtMs.set(id, nowMs);
  const next = {
    ...state,
    entries,
    listedAtMs,
    hostsKnown: true,
    self: { ...state.self, address },
  };
  return chain(syncWithNewParent(state, next, nowMs), (synced) => catchUp(synced, nowMs));
}
