import type { ParseError } from 'jsonc-parser';
import type { Result } from 'ts-results';
import { result, type Failure } from '../../base/index.js';
import { parseDocument } from '../text/index.js';
import { schemaFindings } from './schemafindings.js';
import type { ServiceDocument } from './servicedocument.js';

/**
 * Parses the text of an accepted document. Only the schema is checked again: a document in force stays in
 * force even if a later version of the checks would refuse it.
 */
export function readDocument(text: string): Result<ServiceDocument, Failure> {
  const errors: ParseError[] = [];
  const value = parseDocument(text, errors);
  const [syntax] = errors;
  if (syntax) {
    return result.Err({ type: 'document-syntax', detail: `At offset ${syntax.offset}.` });
  }
  const [finding] = schemaFindings(value);
  if (finding) {
    return result.Err({ type: finding.type, detail: `${finding.pointer}: ${finding.detail}` });
  }
  return result.Ok(value as ServiceDocument);
}
