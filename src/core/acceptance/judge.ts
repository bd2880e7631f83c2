import type { Revision } from '../../base/index.js';
import type { KeyValue } from '../../port/index.js';
import type { AuditEntry } from '../audit/index.js';
import type { AcceptanceState } from './acceptancestate.js';
import { decodeStored } from './decodestored.js';

/** What a read value says of our change. */
type Judgement =
  | { readonly type: 'FOUND'; readonly entry: AuditEntry; readonly revision: Revision }
  /** The key is as it was before us: our swap may still arrive. */
  | { readonly type: 'UNCHANGED' }
  /** Another change stands where ours would: ours can no longer take effect. */
  | { readonly type: 'MOVED' }
  /** The entries that would tell are no longer kept. */
  | { readonly type: 'UNCERTAIN' };

/**
 * Looks for our change in a value that was read. Where another change stands in the place that ours would
 * take in the chain, ours was not accepted; where that place is no longer kept, it cannot be told.
 */
export function judge(state: AcceptanceState, item: KeyValue | undefined): Judgement {
  const { change, entry: ours } = state;
  const stored = item ? decodeStored(item.value) : undefined;
  const audit = stored?.ok ? stored.val.audit : [];
  const at = audit.findIndex(({ changeId }) => changeId === change.changeId);
  const entry = audit[at];
  if (entry && item) {
    return { type: 'FOUND', entry, revision: audit[at + 1]?.basedOnRevision ?? item.revision };
  }
  if ((item?.revision ?? 0) === change.expectedRevision) return { type: 'UNCHANGED' };
  if (!ours) return { type: 'MOVED' };
  const placeKept = audit.some(({ index }) => index === ours.index);
  return { type: placeKept ? 'MOVED' : 'UNCERTAIN' };
}
