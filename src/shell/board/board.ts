import type { Revision } from '../../base/index.js';
import type { BoardRecord } from './boardrecord.js';

/**
 * Records replicated to the processes of a region: service documents, and the state that sidecars report for their
 * upstreams. In each copy a record is only ever replaced by a newer one.
 */
export interface Board {
  get(key: string): BoardRecord | undefined;
  list(prefix: string): readonly BoardRecord[];
  /** Stores a record in the local copy and replicates it. */
  publish(record: BoardRecord): void;
  /** Calls `notify` after a record under the prefix has been stored. Returns a function that unsubscribes. */
  onChange(prefix: string, notify: (record: BoardRecord) => void): () => void;
  /** Returns the highest configuration revision in force at this process, or that of one service's document. */
  revision(service?: string): Revision;
  /**
   * Returns the revision of the document that lists a sidecar's address, or 0. A sidecar holds only that document, so
   * calls to it carry this revision.
   */
  revisionForSidecar(sidecarAddress: string): Revision;
  /** Reports a revision seen on a call. A process that is behind pulls the missing records from that address. */
  observeRevision(revision: Revision, fromAddress: string): void;
  /** True once this process has caught up with its peers, or once the time limit has passed and it holds a document. */
  caughtUp(): boolean;
}
