import type { Swap } from '../../port/index.js';
import { base64 } from './base64.js';

function operation(swap: Swap): object {
  const key = base64.encode(swap.key);
  if (swap.value === undefined) return { request_delete_range: { key } };
  const put = { key, value: base64.encode(swap.value) };
  return { request_put: swap.leaseId ? { ...put, lease: swap.leaseId } : put };
}

/** A compare-and-swap as a transaction that reads the key where the comparison fails. */
export function txnOf(swap: Swap): object {
  const key = base64.encode(swap.key);
  const compare = {
    key,
    target: 'MOD',
    result: 'EQUAL',
    mod_revision: String(swap.expectedRevision),
  };
  return {
    compare: [compare],
    success: [operation(swap)],
    failure: [{ request_range: { key } }],
  };
}
