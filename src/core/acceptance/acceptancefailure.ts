import type { ChangeId, Failure, Revision } from '../../base/index.js';
import type { StoreFailure } from '../../port/index.js';
import type { AuditEntry } from '../audit/index.js';
import type { DocumentFailure } from '../document/index.js';

/**
 * Why a change was not accepted. Only after `outcome-unknown` may the change be in force or come into
 * force later; after every other failure it is not in force and never will be.
 */
export type AcceptanceFailure =
  | (Failure & {
      readonly type: 'document-refused';
      readonly failures: readonly DocumentFailure[];
    })
  | (Failure & {
      readonly type: 'revision-conflict';
      readonly expectedRevision: Revision;
      readonly currentRevision: Revision;
      /** Line diff from the text in force to the operator's text. */
      readonly diff: string;
      /** Changes since the expected revision, as far as the kept audit entries reach. */
      readonly since: readonly Pick<AuditEntry, 'changeId' | 'who' | 'cause'>[];
    })
  | (Failure & { readonly type: 'outcome-unknown'; readonly changeId: ChangeId })
  | (Failure & { readonly type: 'change-not-made'; readonly cause: StoreFailure['type'] })
  | (Failure & {
      readonly type:
        | 'service-unknown'
        | 'region-changed'
        | 'change-not-kept'
        | 'change-id-reused'
        | 'stored-value-unreadable'
        | 'document-too-large';
    });
