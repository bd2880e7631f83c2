import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import type { AuditEntry } from './auditentry.js';
import type { AuditFailure } from './auditfailure.js';
import type { Hash } from './hash.js';
import { sealEntry } from './sealentry.js';

function faultOf(entry: AuditEntry, before: AuditEntry | undefined, hash: Hash): string {
  if (sealEntry(entry, hash).hash !== entry.hash) return 'its contents do not match its hash';
  if (!before) {
    return entry.index === 1 && entry.previousHash !== ''
      ? 'it is the first entry but names a previous one'
      : '';
  }
  if (entry.index !== before.index + 1) return `it follows entry ${before.index}`;
  if (entry.previousHash !== before.hash) {
    return `it does not name the hash of entry ${before.index}`;
  }
  if (entry.basedOnRevision <= before.basedOnRevision) return 'its revision does not increase';
  return '';
}

/**
 * Verifies that the entries form a hash chain and that the last one belongs to this document. The chain may
 * start after dropped entries; the first entry's `previousHash` is then not checked.
 */
export function verifyChain(
  entries: readonly AuditEntry[],
  document: string,
  hash: Hash,
): Result<void, AuditFailure> {
  const type = 'audit-broken';
  let before: AuditEntry | undefined;
  for (const entry of entries) {
    const wrong = faultOf(entry, before, hash);
    const { index } = entry;
    if (wrong) return result.Err({ type, index, detail: `Entry ${index}: ${wrong}.` });
    before = entry;
  }
  const index = before?.index ?? 0;
  if (before?.documentHash === hash(document)) return result.Ok(undefined);
  return result.Err({
    type,
    index,
    detail: 'The document does not match the hash in the last entry.',
  });
}
