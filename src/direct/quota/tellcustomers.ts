import type { KeyHash } from '../../base/index.js';
import type { AccessTable, CustomerSpec } from '../../core/access/index.js';
import type { CustomerState } from './customerstate.js';
import type { QuotaBook } from './quotabook.js';
import type { QuotaDesk } from './quotadesk.js';

/** All customers of a configuration as one entry knows them, for an operator. */
export function tellCustomers(
  access: AccessTable,
  desk: QuotaDesk,
  book: QuotaBook,
): readonly CustomerState[] {
  const hashes = new Map<CustomerSpec, KeyHash[]>();
  for (const [hash, customer] of access.customerByKey) {
    hashes.set(customer, [...(hashes.get(customer) ?? []), hash]);
  }
  return [...access.customers.values()].map((customer) => {
    const { id, quota } = customer;
    const keyHashes = hashes.get(customer) ?? [];
    return { id, keyHashes, quota, ...desk.stateOf(id), left: book.leftOf(id) };
  });
}
