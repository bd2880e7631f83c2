import type { Ms } from '../../base/index.js';
import { catchUp } from './catchup.js';
import type { MeshChange } from './meshchange.js';
import type { MeshHost } from './meshhost.js';
import type { MeshState } from './meshstate.js';
import { rankEntries } from './rankentries.js';

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
  return catchUp(next, nowMs);
}
