import type { Revision } from '../../src/base/index.js';
import { decodeStored, type StoredService } from '../../src/core/acceptance/index.js';
import type { AuditEntry } from '../../src/core/audit/index.js';
import type { StoreModel } from '../../standin/index.js';

/** One change as the store took it. */
export interface Taken {
  readonly revision: Revision;
  readonly entry: AuditEntry;
  readonly stored: StoredService;
}

/** All changes in the order in which the store took them, from its own history. */
export function truth(model: StoreModel): readonly Taken[] {
  const taken: Taken[] = [];
  for (const { item, revision } of model.eventsAfter('', 0 as Revision) ?? []) {
    const stored = item ? decodeStored(item.value).unwrap() : undefined;
    const entry = stored?.audit.at(-1);
    if (stored && entry) taken.push({ revision, entry, stored });
  }
  return taken;
}
