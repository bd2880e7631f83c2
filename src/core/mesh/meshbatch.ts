import type { MeshRecord } from './meshrecord.js';

/** Records on their way from one process to another. */
export interface MeshBatch {
  /** Address of the sender's listener. */
  readonly host: string;
  /** Highest document revision that the sender holds. */
  readonly revision: number;
  /** Hash over the versions of all documents that the sender holds. */
  readonly hash: number;
  readonly records: readonly MeshRecord[];
  /** True when the sender has itself caught up. */
  readonly caughtUp: boolean;
  /** True when more records were wanted than fit in one batch. */
  readonly truncated: boolean;
}
