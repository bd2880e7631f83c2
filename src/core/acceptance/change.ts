import type { ChangeId, Ms, Revision, ServiceId } from '../../base/index.js';

/** A change requested by an operator. */
export interface Change {
  readonly service: ServiceId;
  /** Region of the document; its text must name the same region. */
  readonly region: string;
  /** Owner of the service's documents in other regions, if it has any. */
  readonly ownerElsewhere?: string;
  readonly changeId: ChangeId;
  /** Revision that the operator has seen; 0 for a service that does not exist yet. */
  readonly expectedRevision: Revision;
  /** The new text, or the earlier change whose resulting text is to be restored. */
  readonly source:
    | { readonly type: 'text'; readonly text: string; readonly file: string }
    | { readonly type: 'rollback'; readonly to: ChangeId };
  readonly who: string;
  /** Team that the operator acts for, if known. */
  readonly team?: string;
  readonly cause: string;
  /** Wall-clock time of the operator's machine. */
  readonly atMs: Ms;
}
