import type { ChangeId, Ms, Revision, ServiceId } from '../../base/index.js';

/** What an operator asks for. */
export interface Change {
  readonly service: ServiceId;
  /** Region that the document is kept for; its text has to name the same. */
  readonly region: string;
  /** Owner of the service's documents in other regions, if it has any. */
  readonly ownerElsewhere?: string;
  readonly changeId: ChangeId;
  /** Revision that the operator has seen; 0 for a service that is not there yet. */
  readonly expectedRevision: Revision;
  /** The new text, or the change after which the text was the one that is wanted back. */
  readonly source:
    | { readonly type: 'text'; readonly text: string; readonly file: string }
    | { readonly type: 'rollback'; readonly to: ChangeId };
  readonly who: string;
  /** Team that the operator acts for, if known. */
  readonly team?: string;
  readonly cause: string;
  /** Wall clock of the operator's machine. */
  readonly atMs: Ms;
}
