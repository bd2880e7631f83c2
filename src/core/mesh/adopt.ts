import type { Ms } from '../../base/index.js';
import { hash32 } from '../hash/index.js';
import { isDocument } from './isdocument.js';
import { isNewer } from './isnewer.js';
import { isWanted } from './iswanted.js';
import type { HeldRecord } from './heldrecord.js';
import type { MeshRecord } from './meshrecord.js';
import type { MeshState } from './meshstate.js';
import type { MeshVersion } from './meshversion.js';

const EMPTY = new Uint8Array(0);

/** Modulus of the sum of fingerprints. A sum does not depend on the order in which records arrived. */
const HASH_RANGE = 2 ** 32;

function fingerprint(version: MeshVersion | undefined): number {
  if (!version) return 0;
  return hash32(`${version.key}|${version.epoch}|${version.sequence}`);
}

/**
 * Turns an offered document into its tombstone if a later store listing does not contain it: it has been
 * deleted since, and the peers that still hold it have to learn of the deletion.
 */
function deletedIfUnlisted(state: MeshState, offered: MeshRecord): MeshRecord {
  const { listedRevision } = state.store;
  const { key, value, sequence } = offered;
  const isLive = !isDocument(key) || value.length === 0 || sequence > listedRevision;
  if (isLive || state.records.has(key)) return offered;
  return { key, epoch: 0, sequence: listedRevision, value: EMPTY, origin: '' };
}

/**
 * Stores the offered records that are newer than the held ones. All records enter the table here, so a
 * process never returns to an older version. The table is copied once for a whole batch.
 */
export function adopt(
  state: MeshState,
  offered: readonly MeshRecord[],
  nowMs: Ms,
): { readonly state: MeshState; readonly adopted: readonly MeshRecord[] } {
  const adopted: MeshRecord[] = [];
  let { revision, documentsHash } = state;
  const records = new Map<string, HeldRecord>(state.records);
  for (const each of offered) {
    const record = deletedIfUnlisted(state, each);
    const held = records.get(record.key);
    const isOwn = record.origin === state.self.id;
    if (!(isOwn || isWanted(state.self, record.key)) || !isNewer(record, held)) continue;
    records.set(record.key, { ...record, adoptedAtMs: nowMs });
    adopted.push(record);
    if (!isDocument(record.key)) continue;
    revision = Math.max(revision, record.sequence);
    documentsHash =
      (documentsHash + HASH_RANGE - fingerprint(held) + fingerprint(record)) % HASH_RANGE;
  }
  if (adopted.length === 0) return { state, adopted };
  return { state: { ...state, records, revision, documentsHash }, adopted };
}
