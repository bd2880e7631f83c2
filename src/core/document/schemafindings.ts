import { Ajv, type ErrorObject } from 'ajv';
import schema from '../../../schema/service.schema.json' with { type: 'json' };
import { describeInvalid } from '../text/index.js';
import type { Finding } from './check/index.js';

const validate = new Ajv({ allErrors: true, verbose: true }).compile(schema);

const TYPES = {
  'unknown-field': 'document-unknown-field',
  'wrong-unit': 'document-wrong-unit',
  invalid: 'document-invalid',
} as const;

/** Returns the JSON pointer of the required field that an error reports as missing. */
function missing({ keyword, instancePath, params }: ErrorObject): string | undefined {
  if (keyword !== 'required') return undefined;
  return `${instancePath}/${(params as { missingProperty: string }).missingProperty}`;
}

/** Finds violations of the published schema. */
export function schemaFindings(value: unknown): readonly Finding[] {
  if (validate(value)) return [];
  // An error of `if` only repeats the error of its branch.
  const errors = (validate.errors ?? []).filter(({ keyword }) => keyword !== 'if');
  const described = errors.map((error) => ({ ...describeInvalid(error), missing: missing(error) }));
  // A misspelt required field is reported once, not also as a missing one.
  const meant = new Set(described.map((invalid) => invalid.meant));
  return described
    .filter((invalid) => invalid.missing === undefined || !meant.has(invalid.missing))
    .map(({ type, pointer, detail }) => ({ type: TYPES[type], pointer, detail }));
}
