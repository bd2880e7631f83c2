import type { StoreFailure } from '../../port/index.js';

/** Errors that occur before any byte of the call is sent. */
const NOT_SENT = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Converts an error thrown by a call to a typed failure. */
export function sendFailure(kind: 'read' | 'write', thrown: unknown): StoreFailure {
  const { code = '', message = String(thrown) } = thrown as { code?: string; message?: string };
  const detail = `${code || 'call failed'}: ${message}`;
  if (kind === 'read' || NOT_SENT.has(code)) return { type: 'store-unavailable', detail };
  return { type: 'store-outcome-unknown', detail };
}
