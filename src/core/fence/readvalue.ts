import type { Result } from 'ts-results';
import { result, type Failure, type Incarnation } from '../../base/index.js';
import type { KeyValue } from '../../port/index.js';
import { parseJson } from '../shape/index.js';
import type { UpstreamValue } from './upstreamvalue.js';

const UNUSED: UpstreamValue = { incarnation: 0 as Incarnation, owner: '', intents: [] };

function isValue(value: unknown): value is UpstreamValue {
  const { incarnation, owner, intents } = (value ?? {}) as Partial<UpstreamValue>;
  return Number.isSafeInteger(incarnation) && typeof owner === 'string' && Array.isArray(intents);
}

/** Decodes an upstream's value; a key that was never written gives incarnation 0. */
export function readValue(item: KeyValue | undefined): Result<UpstreamValue, Failure> {
  if (!item) return result.Ok(UNUSED);
  const value = parseJson(item.value);
  if (isValue(value)) return result.Ok(value);
  return result.Err({
    type: 'upstream-key-damaged',
    detail: `The value of ${item.key} is not a valid upstream value.`,
  });
}
