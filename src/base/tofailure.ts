import type { Failure } from './failure.js';

/** Converts a thrown value into a typed failure of the given type. */
export function toFailure(type: string, thrown: unknown): Failure {
  const detail = thrown instanceof Error ? thrown.message : String(thrown);
  return { type, detail };
}
