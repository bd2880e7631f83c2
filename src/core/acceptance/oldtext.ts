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

/** The document's text as it was after an earlier change, from the undo hunks of the later ones. */
export function oldText(stored: StoredService, to: ChangeId, hash: Hash): Result<string, NotKept> {
  let text = stored.document;
  for (const entry of [...stored.audit].reverse()) {
    if (hash(text) !== entry.documentHash) {
      return notKept(`The text after ${entry.changeId} is lost.`);
    }
    if (entry.changeId === to) return result.Ok(text);
    if (!entry.undo) break;
    text = patchLines(text, entry.undo);
  }
  return notKept(`The store no longer keeps the text after change ${to}; apply it from a file.`);
}
