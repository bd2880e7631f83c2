import { readFileSync } from 'node:fs';
import { Ajv, type JSONSchemaType } from 'ajv';
import { parse, parseTree, printParseErrorCode, type ParseError } from 'jsonc-parser';
import type { Result } from 'ts-results';
import { result, toFailure } from '../../base/index.js';
import { describeInvalid, locate, position } from '../../core/text/index.js';
import { formats } from './formats.js';
import type { SettingsFailure } from './settingsfailure.js';

/**
 * Reads a settings file (JSON with comments) and checks it against a schema. Fills in the defaults of the schema;
 * unknown fields are errors.
 */
export function loadSettings<Settings>(
  file: string,
  schema: JSONSchemaType<Settings>,
): Result<Settings, SettingsFailure> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (thrown) {
    return result.Err({
      ...toFailure('settings-unreadable', thrown),
      type: 'settings-unreadable',
      file,
    });
  }
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, { allowTrailingComma: true });
  const tree = parseTree(text, [], { allowTrailingComma: true });
  const [syntax] = errors;
  if (syntax) {
    const { line, column } = position(text, syntax.offset);
    const detail = `${file}:${line}:${column}: ${printParseErrorCode(syntax.error)}`;
    return result.Err({ type: 'settings-syntax', detail, file, line, column });
  }
  const check = new Ajv({ useDefaults: true, verbose: true, formats }).compile(schema);
  if (check(value)) return result.Ok(value);
  const [error] = check.errors ?? [];
  const invalid = error ? describeInvalid(error) : { pointer: '', detail: 'is invalid' };
  const place = locate(text, tree, invalid.pointer);
  const field = invalid.pointer.slice(1).replaceAll('/', '.') || '(root)';
  const detail = `${file}:${place.line}:${place.column}: ${field}: ${invalid.detail}`;
  return result.Err({ type: 'settings-invalid', detail, file, ...place, field });
}
