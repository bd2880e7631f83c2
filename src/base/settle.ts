import type { Failure } from './failure.js';

/** Turns whatever was thrown into a typed failure of the given type. */
export function settle(type: string, thrown: unknown): Failure {
  const detail = thrown instanceof Error ? thrown.message : String(thrown);
  return { type, detail };
}
