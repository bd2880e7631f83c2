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

/** `if` only repeats what its branch has said. */
const isTold = ({ keyword }: ErrorObject) => keyword !== 'if';

/** Finds where a value departs from the published schema. */
export function schemaFindings(value: unknown): readonly Finding[] {
  if (validate(value)) return [];
  return (validate.errors ?? [])
    .filter(isTold)
    .map(describeInvalid)
    .map((invalid) => ({ ...invalid, type: TYPES[invalid.type] }));
}
