import { parse, parseTree, printParseErrorCode, type Node, type ParseError } from 'jsonc-parser';
import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import { locate, position } from '../text/index.js';
import { checks, type Finding } from './check/index.js';
import type { CheckContext } from './checkcontext.js';
import type { DocumentFailure } from './documentfailure.js';
import { findRepeatedFields } from './findrepeatedfields.js';
import { schemaFindings } from './schemafindings.js';
import type { ServiceDocument } from './servicedocument.js';

const OPTIONS = { allowTrailingComma: true, disallowComments: false };

function failureAt(
  type: DocumentFailure['type'],
  file: string,
  place: { readonly line: number; readonly column: number },
  field: string,
  problem: string,
): DocumentFailure {
  const name = field === '' ? '' : `${field}: `;
  const detail = `${file}:${place.line}:${place.column}: ${name}${problem}`;
  return { type, file, ...place, field, detail };
}

function located(
  text: string,
  tree: Node | undefined,
  file: string,
): (finding: Finding) => DocumentFailure {
  return ({ type, pointer, detail }) => {
    const field = pointer.slice(1).replaceAll('/', '.');
    return failureAt(type, file, locate(text, tree, pointer), field, detail);
  };
}

function repeatedFields(text: string, tree: Node | undefined, file: string): DocumentFailure[] {
  const repeated = tree ? findRepeatedFields(tree) : [];
  return repeated.map(({ name, offset }) => {
    const detail = 'appears twice in one object';
    return failureAt('document-duplicate', file, position(text, offset), name, detail);
  });
}

function syntaxFailures(
  text: string,
  errors: readonly ParseError[],
  file: string,
): DocumentFailure[] {
  return errors.map(({ error, offset }) => {
    const detail = printParseErrorCode(error);
    return failureAt('document-syntax', file, position(text, offset), '', detail);
  });
}

/**
 * Parses a document's text (JSON with comments) and runs all checks. Returns the document, or all failures
 * of the first stage that fails: syntax, schema, then checks.
 */
export function checkDocument(
  text: string,
  context: CheckContext,
): Result<ServiceDocument, readonly DocumentFailure[]> {
  const { file } = context;
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, OPTIONS);
  if (errors.length > 0) return result.Err(syntaxFailures(text, errors, file));
  const tree = parseTree(text, [], OPTIONS);
  const repeated = repeatedFields(text, tree, file);
  const invalid = schemaFindings(value).map(located(text, tree, file));
  const shape = [...repeated, ...invalid];
  if (shape.length > 0) return result.Err(shape);
  const document = value as ServiceDocument;
  const findings = Object.values(checks).flatMap((check) => check(document, context));
  if (findings.length > 0) return result.Err(findings.map(located(text, tree, file)));
  return result.Ok(document);
}
