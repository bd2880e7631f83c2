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

/** Sums of fingerprints wrap here; a sum does not depend on the order of what came. */
const HASH_RANGE = 2 ** 32;

function fingerprint(version: MeshVersion | undefined): number {
  if (!version) return 0;
  return hash32(`${version.key}|${version.epoch}|${version.sequence}`);
}

/**
 * What an offer means to a process that has listed the store: a document that the later list lacks has
 * been deleted since, which those who still hold it have to hear.
 */
function judged(state: MeshState, offered: MeshRecord): MeshRecord {
  const { listedRevision } = state.store;
  const { key, value, sequence } = offered;
  const isLive = !isDocument(key) || value.length === 0 || sequence > listedRevision;
  if (isLive || state.records.has(key)) return offered;
  return { key, epoch: 0, sequence: listedRevision, value: EMPTY, origin: '' };
}

/**
 * Takes over the records that are newer than what is held: the only way into the table, so that no
 * process ever goes back. The table is copied once for a whole batch.
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
    const record = judged(state, each);
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
