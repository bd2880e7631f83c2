import type { StoreFailure } from '../../port/index.js';

/** Errors that arise before a byte of the call has left. */
const NOT_SENT = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** The failure that a broken call stands for. */
export function sendFailure(kind: 'read' | 'write', thrown: unknown): StoreFailure {
  const { code = '', message = String(thrown) } = thrown as { code?: string; message?: string };
  const detail = `${code || 'call broken'}: ${message}`;
  if (kind === 'read' || NOT_SENT.has(code)) return { type: 'store-unavailable', detail };
  return { type: 'store-outcome-unknown', detail };
}
