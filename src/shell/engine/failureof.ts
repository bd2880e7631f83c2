import type { EngineFailure } from '../../port/index.js';

/** Converts an error of an HTTP call to an upstream to a typed failure that says whether the request may have run. */
export function failureOf(thrown: unknown, signal: AbortSignal): EngineFailure {
  const detail = thrown instanceof Error ? thrown.message : String(thrown);
  if (signal.aborted) return { type: 'cancelled', detail, executed: 'unknown' };
  const code = (thrown as { code?: string }).code ?? '';
  // Only a connection that was never established proves that nothing was sent.
  const unsent = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
  if (unsent) return { type: 'upstream-unreachable', detail, executed: 'no' };
  return { type: 'upstream-cut', detail, executed: 'unknown' };
}
