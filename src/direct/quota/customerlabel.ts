import type { AccessTable, CustomerSpec } from '../../core/access/index.js';

/** Metrics tell so many customers apart. */
const MOST_LABELS = 100;

/** What a customer is called in metrics: its name among the first hundred of a configuration, else `other`. */
export function customerLabel(
  access: AccessTable | undefined,
  customer: CustomerSpec | undefined,
): string {
  if (!customer) return 'none';
  let place = 0;
  for (const id of access?.customers.keys() ?? []) {
    if (place >= MOST_LABELS) break;
    if (id === customer.id) return id;
    place += 1;
  }
  return 'other';
}
