import type { ErrorObject } from 'ajv';
import { suggest } from './suggest.js';

/** A schema error described for an operator. */
interface Invalid {
  readonly type: 'unknown-field' | 'wrong-unit' | 'invalid';
  /** JSON pointer of the invalid field, or of the object that lacks a field. */
  readonly pointer: string;
  readonly detail: string;
  /** JSON pointer of the field that an unknown one probably means. */
  readonly meant?: string;
}

/** Units by the suffix of a field's name. */
const UNIT_NAMES: readonly (readonly [ending: string, unit: string])[] = [
  ['PerSecond', 'a number per second'],
  ['Ms', 'a number of milliseconds'],
  ['Bytes', 'a number of bytes'],
];

function unitHint(pointer: string): string {
  const unit = UNIT_NAMES.find(([ending]) => pointer.endsWith(ending));
  return unit ? ` (${unit[1]})` : '';
}

function allowedValues({ params }: ErrorObject): string {
  const { allowedValues: values, allowedValue: value } = params as {
    allowedValues?: readonly unknown[];
    allowedValue?: unknown;
  };
  if (values) return `: ${values.join(', ')}`;
  return value === undefined ? '' : `: ${String(value)}`;
}

function unknownField(error: ErrorObject): Invalid {
  const { additionalProperty: name } = error.params as { additionalProperty: string };
  const { properties = {} } = (error.parentSchema ?? {}) as { properties?: object };
  const pointer = `${error.instancePath}/${name.replaceAll('~', '~0').replaceAll('/', '~1')}`;
  const meant = suggest(name, Object.keys(properties));
  if (!meant) return { type: 'unknown-field', pointer, detail: 'unknown field' };
  const type = meant.otherUnit ? 'wrong-unit' : 'unknown-field';
  const detail = `unknown field; did you mean ${meant.field}?${unitHint(meant.field)}`;
  return { type, pointer, detail, meant: `${error.instancePath}/${meant.field}` };
}

/** Describes a value that violates a `format` which the schema explains in its description. */
function wrongForm(error: ErrorObject): Invalid | undefined {
  const { description } = (error.parentSchema ?? {}) as { description?: string };
  if (error.keyword !== 'format' || !description) return undefined;
  const detail = `expected ${description}, found ${JSON.stringify(error.data)}`;
  return { type: 'invalid', pointer: error.instancePath, detail };
}

/** Describes an Ajv error for an operator. The validator must run with `verbose`. */
export function describeInvalid(error: ErrorObject): Invalid {
  if (error.keyword === 'additionalProperties') return unknownField(error);
  const described = wrongForm(error);
  if (described) return described;
  const pointer = error.instancePath;
  const message = error.message ?? 'is invalid';
  const detail = `${message}${allowedValues(error)}${unitHint(pointer)}`;
  return { type: 'invalid', pointer, detail };
}
