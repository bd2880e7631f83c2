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

/** A new parent in the tree of upstreams' records is asked for all, and sees what this process holds. */
function meetParent(before: MeshState, after: MeshState, nowMs: Ms): MeshChange {
  const { parent } = neighbours(after, UPSTREAM_TREE, nowMs);
  const known = neighbours(before, UPSTREAM_TREE, nowMs).parent;
  const isNew = parent !== undefined && parent !== known;
  if (!isNew || after.self.role === 'sidecar') return { state: after, effects: [] };
  return promptPull(after, parent, [], nowMs);
}

/** The lagging host list was read: relays and trees follow from it. */
export function onHostList(
  state: MeshState,
  event: { readonly entries: readonly MeshHost[]; readonly listedIds: readonly string[] },
  nowMs: Ms,
): MeshChange {
  const entries = rankEntries(event.entries);
  // The list knows the address by which others reach this process better than its own listener does.
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
  return chain(meetParent(state, next, nowMs), (met) => catchUp(met, nowMs));
}
