import { batchOf } from './batchof.js';
import { isDocument } from './isdocument.js';
import { isNewer } from './isnewer.js';
import type { HeldRecord } from './heldrecord.js';
import type { MeshBatch } from './meshbatch.js';
import type { MeshDigest } from './meshdigest.js';
import type { MeshState } from './meshstate.js';

function missingDocuments(state: MeshState, digest: MeshDigest): readonly HeldRecord[] {
  if (digest.hash === state.documentsHash) return [];
  const documents = [...state.records.values()].filter(({ key }) => isDocument(key));
  return documents.filter(({ sequence }) => sequence > digest.revision);
}

function missingRecords(state: MeshState, digest: MeshDigest): readonly HeldRecord[] {
  const { interests } = digest;
  const theirs = new Map(digest.versions.map((version) => [version.key, version]));
  const missing: HeldRecord[] = [];
  for (const record of state.records.values()) {
    const wanted = interests.length === 0 || interests.some((each) => record.key.startsWith(each));
    if (wanted && isNewer(record, theirs.get(record.key))) missing.push(record);
  }
  return missing.sort((a, b) => Number(isDocument(b.key)) - Number(isDocument(a.key)));
}

/** Returns the records that the sender of a digest lacks, up to `batchBytes`. */
export function answerDigest(state: MeshState, digest: MeshDigest): MeshBatch {
  const lacking =
    digest.hash === 0 ? missingRecords(state, digest) : missingDocuments(state, digest);
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
