import type { ChangeId, Failure, Revision } from '../../base/index.js';
import type { StoreFailure } from '../../port/index.js';
import type { AuditEntry } from '../audit/index.js';
import type { DocumentFailure } from '../document/index.js';

/**
 * Why a change was not accepted. Only after `outcome-unknown` may it be in force, now or later; after
 * all others it is not, and never will be.
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
      /** What the operator's text changes in the one in force, by lines. */
      readonly diff: string;
      /** Changes since the expected revision, as far as the audit trail is kept. */
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
