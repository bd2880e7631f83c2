import type { KeyHash } from '../../base/index.js';
import type { AccessTable, CustomerSpec } from '../../core/access/index.js';
import type { CustomerState } from './customerstate.js';
import type { QuotaLedger } from './quotaledger.js';
import type { QuotaClient } from './quotaclient.js';

/** Lists all customers of a configuration with one entry's view of them, for an operator. */
export function listCustomers(
  access: AccessTable,
  client: QuotaClient,
  book: QuotaLedger,
): readonly CustomerState[] {
  const hashes = new Map<CustomerSpec, KeyHash[]>();
  for (const [hash, customer] of access.customerByKey) {
    hashes.set(customer, [...(hashes.get(customer) ?? []), hash]);
  }
  return [...access.customers.values()].map((customer) => {
    const { id, quota } = customer;
    const keyHashes = hashes.get(customer) ?? [];
    return { id, keyHashes, quota, ...client.stateOf(id), left: book.remaining(id) };
  });
}
