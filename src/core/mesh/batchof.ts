import type { MeshBatch } from './meshbatch.js';
import type { MeshRecord } from './meshrecord.js';
import type { MeshState } from './meshstate.js';

/** Puts records into a batch that says how far this process is. */
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
