import type { MeshRecord } from './meshrecord.js';

/** Records sent from one process to another. */
export interface MeshBatch {
  /** Address of the sender's listener. */
  readonly host: string;
  /** Highest document revision that the sender holds. */
  readonly revision: number;
  /** Hash over the versions of all documents that the sender holds. */
  readonly hash: number;
  readonly records: readonly MeshRecord[];
  /** True if the sender has caught up. */
  readonly caughtUp: boolean;
  /** True if the requested records did not fit in one batch. */
  readonly truncated: boolean;
}
