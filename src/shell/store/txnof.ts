import type { Swap } from '../../port/index.js';
import { base64 } from './base64.js';

function operation(swap: Swap): object {
  const key = base64.encode(swap.key);
  if (swap.value === undefined) return { request_delete_range: { key } };
  const put = { key, value: base64.encode(swap.value) };
  return { request_put: swap.leaseId ? { ...put, lease: swap.leaseId } : put };
}

/** Converts a compare-and-swap to an etcd transaction, which reads the key if the comparison fails. */
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
