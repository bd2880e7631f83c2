import type { Result } from 'ts-results';
import { result, type Failure } from '../../base/index.js';
import {
  checkDocument,
  type CheckContext,
  type ServiceDocument,
} from '../../core/document/index.js';
import { readFile } from './readfile.js';

/** Text of a document and its parsed form. */
interface CheckedFile {
  readonly text: string;
  readonly document: ServiceDocument;
}

/** Reads and checks a document file. */
export function checkFile(
  file: string,
  context: Omit<CheckContext, 'file'>,
): Result<CheckedFile, Failure> {
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
