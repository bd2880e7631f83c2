import type { ErrorObject } from 'ajv';
import { suggest } from './suggest.js';

/** What a schema error says, and where. */
interface Invalid {
  readonly type: 'unknown-field' | 'wrong-unit' | 'invalid';
  /** JSON pointer of the field that is wrong, or of the object that lacks one. */
  readonly pointer: string;
  readonly detail: string;
  /** JSON pointer of the field that an unknown one is taken to mean. */
  readonly meant?: string;
}

/** Units by the ending of a field's name. */
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

/** A value that does not have the form that the schema describes in words. */
function wrongForm(error: ErrorObject): Invalid | undefined {
  const { description } = (error.parentSchema ?? {}) as { description?: string };
  if (error.keyword !== 'format' || !description) return undefined;
  const detail = `expected ${description}, found ${JSON.stringify(error.data)}`;
  return { type: 'invalid', pointer: error.instancePath, detail };
}

/** Words an error of a schema check (with `verbose`) for a person. */
export function describeInvalid(error: ErrorObject): Invalid {
  if (error.keyword === 'additionalProperties') return unknownField(error);
  const described = wrongForm(error);
  if (described) return described;
  const pointer = error.instancePath;
  const message = error.message ?? 'is invalid';
  const detail = `${message}${allowedValues(error)}${unitHint(pointer)}`;
  return { type: 'invalid', pointer, detail };
}
