import type { StoreFailure } from '../../port/index.js';

/** Error messages after which the call is known not to have been executed. */
const NOT_EXECUTED: Readonly<Record<string, StoreFailure['type']>> = {
  'etcdserver: no leader': 'store-unavailable',
  'etcdserver: too many requests': 'store-rate-limited',
  'etcdserver: requested lease not found': 'store-lease-lapsed',
  'etcdserver: request is too large': 'store-refused',
};

const FIRST_SERVER_ERROR = 500;

/** Converts an answer with an error status to a typed failure. */
export function gatewayFailure(kind: 'read' | 'write', status: number, body: string): StoreFailure {
  let message = body;
  try {
    message = (JSON.parse(body) as { message?: string }).message ?? body;
  } catch {
    // A proxy in between may answer with something other than JSON: keep its text.
  }
  const detail = `The store answered ${status}: ${message.slice(0, 200)}`;
  const known = NOT_EXECUTED[message];
  if (known) return { type: known, detail };
  if (status < FIRST_SERVER_ERROR) return { type: 'store-refused', detail };
  // The write may still take effect, for example after a Raft proposal timed out.
  return { type: kind === 'write' ? 'store-outcome-unknown' : 'store-unavailable', detail };
}
