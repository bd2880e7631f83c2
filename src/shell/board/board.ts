import type { Revision } from '../../base/index.js';
import type { BoardRecord } from './boardrecord.js';

/**
 * The records that the processes of a region share: service documents and what sidecars tell of their
 * upstreams. Each process holds a copy that only goes forward.
 */
export interface Board {
  get(key: string): BoardRecord | undefined;
  list(prefix: string): readonly BoardRecord[];
  /** Adopts a record here and passes it on. */
  publish(record: BoardRecord): void;
  /** Calls `tell` after a record under the prefix has been adopted; the result ends that. */
  onChange(prefix: string, tell: (record: BoardRecord) => void): () => void;
  /** Highest configuration revision in force at this process, or that of one service's document. */
  revision(service?: string): Revision;
  /**
   * Revision of the document that names a sidecar's address, or 0: the sidecar holds no other, so a call
   * to it carries this one.
   */
  revisionAt(sidecarAddress: string): Revision;
  /** Tells the board of a revision seen on a call, so that a laggard asks for what it lacks. */
  sawRevision(revision: Revision, fromAddress: string): void;
  /** False until this process has caught up with its peers, or waited long enough and holds something. */
  caughtUp(): boolean;
}
