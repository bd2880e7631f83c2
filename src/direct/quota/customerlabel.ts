import type { AccessTable, CustomerSpec } from '../../core/access/index.js';

/** Bound of the label's distinct values in metrics. */
const MAX_LABELS = 100;

/** Returns a customer's label in metrics: its id, or `other` beyond the first hundred of the configuration. */
export function customerLabel(
  access: AccessTable | undefined,
  customer: CustomerSpec | undefined,
): string {
  if (!customer) return 'none';
  let place = 0;
  for (const id of access?.customers.keys() ?? []) {
    if (place >= MAX_LABELS) break;
    if (id === customer.id) return id;
    place += 1;
  }
  return 'other';
}
