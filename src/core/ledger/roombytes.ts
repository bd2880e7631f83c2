import type { Ledger } from './ledger.js';

/** Memory that may be committed: what the document says, or less if the engine has less. */
export function roomBytes({ capacityBytes, reportedBytes }: Ledger): number {
  return reportedBytes > 0 ? Math.min(capacityBytes, reportedBytes) : capacityBytes;
}
