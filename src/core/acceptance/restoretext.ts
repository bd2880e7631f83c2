import type { Result } from 'ts-results';
import { result, type ChangeId, type Failure } from '../../base/index.js';
import type { Hash } from '../audit/index.js';
import { patchLines } from '../text/index.js';
import type { StoredService } from './storedservice.js';

interface NotKept extends Failure {
  readonly type: 'change-not-kept';
}

function notKept(detail: string): Result<string, NotKept> {
  return result.Err({ type: 'change-not-kept', detail });
}

/** Restores the document's text after an earlier change, by applying the undo hunks of the later ones. */
export function restoreText(
  stored: StoredService,
  to: ChangeId,
  hash: Hash,
): Result<string, NotKept> {
  let text = stored.document;
  for (const entry of [...stored.audit].reverse()) {
    if (hash(text) !== entry.documentHash) {
      return notKept(`The text after change ${entry.changeId} does not match its recorded hash.`);
    }
    if (entry.changeId === to) return result.Ok(text);
    if (!entry.undo) break;
    text = patchLines(text, entry.undo);
  }
  return notKept(`The store no longer keeps the text after change ${to}; apply it from a file.`);
}
