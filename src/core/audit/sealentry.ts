import type { AuditEntry } from './auditentry.js';
import type { Hash } from './hash.js';

/** Returns an entry with its hash, computed over all fields except `undo`. */
export function sealEntry(entry: Omit<AuditEntry, 'hash'>, hash: Hash): AuditEntry {
  const { index, changeId, who, atMs, act, cause } = entry;
  const { basedOnRevision, documentHash, previousHash } = entry;
  const about = [index, changeId, who, atMs, act, cause];
  const sealed = [...about, basedOnRevision, documentHash, previousHash];
  return { ...entry, hash: hash(JSON.stringify(sealed)) };
}
