import type { MeshBatch } from './meshbatch.js';
import type { MeshRecord } from './meshrecord.js';
import type { MeshState } from './meshstate.js';

/** Builds a batch of records with the document revision and hash that this process has reached. */
export function batchOf(
  state: MeshState,
  records: readonly MeshRecord[],
  truncated = false,
): MeshBatch {
  return {
    host: state.self.address,
    revision: state.revision,
    hash: state.documentsHash,
    records,
    caughtUp: state.catchUp.phase === 'current',
    truncated,
  };
}
