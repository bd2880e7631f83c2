import { diffLines } from '../text/index.js';
import { sealEntry, type AuditEntry } from '../audit/index.js';
import type { AcceptanceState } from './acceptancestate.js';
import type { StoredService } from './storedservice.js';

/** Maximum total size of the undo hunks in a stored value. */
const UNDO_LIMIT_BYTES = 65_536;

function entryFor(
  { change, hash }: AcceptanceState,
  before: StoredService | undefined,
  text: string,
): AuditEntry {
  const last = before?.audit.at(-1);
  const entry = {
    index: (last?.index ?? 0) + 1,
    changeId: change.changeId,
    who: change.who,
    atMs: change.atMs,
    act: change.source.type === 'rollback' ? ('rollback' as const) : ('apply' as const),
    cause: change.cause,
    basedOnRevision: change.expectedRevision,
    documentHash: hash(text),
    previousHash: last?.hash ?? '',
    undo: before ? diffLines(text, before.document) : undefined,
  };
  return sealEntry(entry, hash);
}

/** Drops the oldest undo hunks so that the others stay within `UNDO_LIMIT_BYTES`. */
function boundUndo(entries: readonly AuditEntry[]): readonly AuditEntry[] {
  let leftBytes = UNDO_LIMIT_BYTES;
  const kept: AuditEntry[] = [];
  for (const { undo, ...entry } of [...entries].reverse()) {
    leftBytes -= undo ? JSON.stringify(undo).length : 0;
    kept.push(undo && leftBytes >= 0 ? { ...entry, undo } : entry);
  }
  return kept.reverse();
}

/** Returns the stored value after a change, its new audit entry, and the old entries dropped from it. */
export function appendEntry(
  state: AcceptanceState,
  before: StoredService | undefined,
  text: string,
): {
  readonly stored: StoredService;
  readonly entry: AuditEntry;
  readonly dropped: readonly AuditEntry[];
} {
  const entry = entryFor(state, before, text);
  const all = [...(before?.audit ?? []), entry];
  const dropped = all.slice(0, Math.max(0, all.length - state.auditLimit));
  const audit = boundUndo(all.slice(dropped.length));
  return { stored: { format: 1, document: text, audit }, entry, dropped };
}
