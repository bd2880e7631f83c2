import type { StoreFailure } from '../../port/index.js';

/** Messages with which the service says that it did not take the call up. */
const NOT_TAKEN: Readonly<Record<string, StoreFailure['type']>> = {
  'etcdserver: no leader': 'store-unavailable',
  'etcdserver: too many requests': 'store-rate-limited',
  'etcdserver: requested lease not found': 'store-lease-lapsed',
  'etcdserver: request is too large': 'store-refused',
};

const FIRST_SERVER_ERROR = 500;

/** The failure that an answer with an error status stands for. */
export function gatewayFailure(kind: 'read' | 'write', status: number, body: string): StoreFailure {
  let message = body;
  try {
    message = (JSON.parse(body) as { message?: string }).message ?? body;
  } catch {
    // A proxy on the way may answer with something else than JSON: keep its text.
  }
  const detail = `The store answered ${status}: ${message.slice(0, 200)}`;
  const known = NOT_TAKEN[message];
  if (known) return { type: known, detail };
  if (status < FIRST_SERVER_ERROR) return { type: 'store-refused', detail };
  // A timed-out proposal, for example, may still be carried out.
  return { type: kind === 'write' ? 'store-outcome-unknown' : 'store-unavailable', detail };
}
