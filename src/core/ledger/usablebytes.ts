import type { Ledger } from './ledger.js';

/** Returns the memory that may be committed: the document's capacity, or less if the engine reports less. */
export function usableBytes({ capacityBytes, reportedBytes }: Ledger): number {
  return reportedBytes > 0 ? Math.min(capacityBytes, reportedBytes) : capacityBytes;
}
