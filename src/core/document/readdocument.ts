import { parse, type ParseError } from 'jsonc-parser';
import type { Result } from 'ts-results';
import { result, type Failure } from '../../base/index.js';
import { schemaFindings } from './schemafindings.js';
import type { ServiceDocument } from './servicedocument.js';

/**
 * Reads the text of a document that was accepted before. Only its shape is checked again: what is in
 * force stays in force even where a later version would refuse it.
 */
export function readDocument(text: string): Result<ServiceDocument, Failure> {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, { allowTrailingComma: true });
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
