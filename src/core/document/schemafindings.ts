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

/** JSON pointer of the field that an error misses. */
function missing({ keyword, instancePath, params }: ErrorObject): string | undefined {
  if (keyword !== 'required') return undefined;
  return `${instancePath}/${(params as { missingProperty: string }).missingProperty}`;
}

/** Finds where a value departs from the published schema. */
export function schemaFindings(value: unknown): readonly Finding[] {
  if (validate(value)) return [];
  // `if` only repeats what its branch has said.
  const errors = (validate.errors ?? []).filter(({ keyword }) => keyword !== 'if');
  const told = errors.map((error) => ({ ...describeInvalid(error), missing: missing(error) }));
  // A misspelt field is told once, not also as a missing one.
  const meant = new Set(told.map((invalid) => invalid.meant));
  return told
    .filter((invalid) => invalid.missing === undefined || !meant.has(invalid.missing))
    .map(({ type, pointer, detail }) => ({ type: TYPES[type], pointer, detail }));
}
