import type { Result } from 'ts-results';
import { result, type Failure } from '../../base/index.js';
import { parseJson } from '../shape/index.js';
import type { StoredService } from './storedservice.js';

interface StoredValueFailure extends Failure {
  readonly type: 'stored-value-unreadable';
}

function unreadable(detail: string): Result<StoredService, StoredValueFailure> {
  return result.Err({ type: 'stored-value-unreadable', detail });
}

/** Decodes the value stored under a service's key. */
export function decodeStored(value: string): Result<StoredService, StoredValueFailure> {
  const stored = parseJson(value) as Partial<StoredService> | null | undefined;
  if (stored === undefined) return unreadable('The value under the service key is not JSON.');
  if (stored?.format !== 1) {
    return unreadable('The value under the service key has an unknown format.');
  }
  if (typeof stored.document !== 'string' || !Array.isArray(stored.audit)) {
    return unreadable('The value under the service key has no document or no audit entries.');
  }
  return result.Ok(stored as StoredService);
}
