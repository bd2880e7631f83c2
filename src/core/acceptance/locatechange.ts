import type { Revision } from '../../base/index.js';
import type { KeyValue } from '../../port/index.js';
import type { AuditEntry } from '../audit/index.js';
import type { AcceptanceState } from './acceptancestate.js';
import { decodeStored } from './decodestored.js';

/** State of our change according to a value that was read. */
type ChangeStatus =
  | { readonly type: 'FOUND'; readonly entry: AuditEntry; readonly revision: Revision }
  /** The key is as it was before our swap, which may still arrive. */
  | { readonly type: 'UNCHANGED' }
  /** Another change has taken the position of ours, which can no longer take effect. */
  | { readonly type: 'MOVED' }
  /** The audit entries that would decide are no longer kept. */
  | { readonly type: 'UNCERTAIN' };

/**
 * Looks for our change in a value that was read. If another change has our position in the audit chain,
 * ours was not accepted. If that position is no longer kept, the outcome cannot be determined.
 */
export function locateChange(state: AcceptanceState, item: KeyValue | undefined): ChangeStatus {
  const { change, entry: ours } = state;
  const stored = item ? decodeStored(item.value) : undefined;
  const audit = stored?.ok ? stored.val.audit : [];
  const at = audit.findIndex(({ changeId }) => changeId === change.changeId);
  const entry = audit[at];
  if (entry && item) {
    return {
      type: 'FOUND',
      entry,
      revision: audit[at + 1]?.basedOnRevision ?? item.revision,
    };
  }
  if ((item?.revision ?? 0) === change.expectedRevision) return { type: 'UNCHANGED' };
  if (!ours) return { type: 'MOVED' };
  const isPositionKept = audit.some(({ index }) => index === ours.index);
  return { type: isPositionKept ? 'MOVED' : 'UNCERTAIN' };
}
