import type { Ms } from '../../base/index.js';
import { adopt } from './adopt.js';
import { catchUp } from './catchup.js';
import { isDocument } from './isdocument.js';
import type { MeshChange } from './meshchange.js';
import type { MeshRecord } from './meshrecord.js';
import type { MeshState } from './meshstate.js';
import { advanceStore } from './advancestore.js';
import { propagate } from './propagate.js';
import { chain } from './chain.js';

const EMPTY = new Uint8Array(0);

/** Returns tombstones of the documents that this process holds and the store listing does not contain. */
function deletedSince(
  state: MeshState,
  listed: readonly MeshRecord[],
  revision: number,
): readonly MeshRecord[] {
  const keys = new Set(listed.map(({ key }) => key));
  const gone = [...state.records.values()].filter(
    ({ key, value, sequence }) =>
      isDocument(key) && !keys.has(key) && value.length > 0 && sequence < revision,
  );
  return gone.map(({ key }) => ({ key, epoch: 0, sequence: revision, value: EMPTY, origin: '' }));
}

/** Handles a store listing, which is authoritative for all documents, including deletions. */
export function onStoreListed(
  state: MeshState,
  event: { readonly records: readonly MeshRecord[]; readonly revision: number },
  nowMs: Ms,
): MeshChange {
  if (state.store.phase !== 'listing') return { state, effects: [] };
  const gone = deletedSince(state, event.records, event.revision);
  const { state: held, adopted } = adopt(state, [...event.records, ...gone], nowMs);
  const { resyncMs } = held.options;
  const store = {
    ...held.store,
    revision: Math.max(held.store.revision, event.revision),
    listedRevision: Math.max(held.store.listedRevision, event.revision),
    failureCount: 0,
    resyncAtMs: nowMs + resyncMs,
  };
  const listed = { ...held, store, catchUp: { ...held.catchUp, storeListed: true } };
  const change = chain(propagate(listed, adopted, '', nowMs), (next) =>
    advanceStore(next, 'LISTED'),
  );
  return chain(change, (next) => catchUp(next, nowMs));
}
