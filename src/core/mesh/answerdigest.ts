import { batchOf } from './batchof.js';
import { isDocument } from './isdocument.js';
import { isNewer } from './isnewer.js';
import type { HeldRecord } from './heldrecord.js';
import type { MeshBatch } from './meshbatch.js';
import type { MeshDigest } from './meshdigest.js';
import type { MeshState } from './meshstate.js';

function lightly(state: MeshState, digest: MeshDigest): readonly HeldRecord[] {
  if (digest.hash === state.documentsHash) return [];
  const documents = [...state.records.values()].filter(({ key }) => isDocument(key));
  return documents.filter(({ sequence }) => sequence > digest.revision);
}

function fully(state: MeshState, digest: MeshDigest): readonly HeldRecord[] {
  const { interests } = digest;
  const theirs = new Map(digest.versions.map((version) => [version.key, version]));
  const lacking: HeldRecord[] = [];
  for (const record of state.records.values()) {
    const wanted = interests.length === 0 || interests.some((each) => record.key.startsWith(each));
    if (wanted && isNewer(record, theirs.get(record.key))) lacking.push(record);
  }
  return lacking.sort((a, b) => Number(isDocument(b.key)) - Number(isDocument(a.key)));
}

/** What the sender of a digest lacks, as far as it fits. */
export function answerDigest(state: MeshState, digest: MeshDigest): MeshBatch {
  const lacking = digest.hash === 0 ? fully(state, digest) : lightly(state, digest);
  const records: HeldRecord[] = [];
  let leftBytes = state.options.batchBytes;
  for (const record of lacking) {
    if (records.length > 0 && record.value.length > leftBytes) {
      return batchOf(state, records, true);
    }
    leftBytes -= record.value.length;
    records.push(record);
  }
  return batchOf(state, records);
}
