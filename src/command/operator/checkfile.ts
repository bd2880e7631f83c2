import type { Result } from 'ts-results';
import { result, type Failure } from '../../base/index.js';
import {
  checkDocument,
  type CheckContext,
  type ServiceDocument,
} from '../../core/document/index.js';
import { readFile } from './readfile.js';

/** A document's text and what it says. */
interface Checked {
  readonly text: string;
  readonly document: ServiceDocument;
}

/** Reads a document's file and checks it. */
export function checkFile(
  file: string,
  context: Omit<CheckContext, 'file'>,
): Result<Checked, Failure> {
  const text = readFile(file);
  if (text.err) return text;
  const checked = checkDocument(text.val, { ...context, file });
  if (checked.ok) return result.Ok({ text: text.val, document: checked.val });
  const failures = checked.val;
  const detail = failures.map((failure) => failure.detail).join('\n');
  const refused: Failure & { failures: typeof failures } = {
    type: 'document-refused',
    detail,
    failures,
  };
  return result.Err(refused);
}
