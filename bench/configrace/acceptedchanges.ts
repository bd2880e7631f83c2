import type { Revision } from '../../src/base/index.js';
import { decodeStored, type StoredService } from '../../src/core/acceptance/index.js';
import type { AuditEntry } from '../../src/core/audit/index.js';
import type { StoreModel } from '../../standin/index.js';

/** A change accepted by the store. */
export interface AcceptedChange {
  readonly revision: Revision;
  readonly entry: AuditEntry;
  readonly stored: StoredService;
}

/** Returns all accepted changes in order, read from the store's history. */
export function acceptedChanges(model: StoreModel): readonly AcceptedChange[] {
  const taken: AcceptedChange[] = [];
  for (const { item, revision } of model.eventsAfter('', 0 as Revision) ?? []) {
    const stored = item ? decodeStored(item.value).unwrap() : undefined;
    const entry = stored?.audit.at(-1);
    if (stored && entry) taken.push({ revision, entry, stored });
  }
  return taken;
}
