const BYTES_PER_CREDIT = 8192;

/** Returns the credit that a data frame uses up: 1, plus 1 for each full 8 KiB. */
export function creditCost(payload: Uint8Array): number {
  return 1 + Math.floor(payload.length / BYTES_PER_CREDIT);
}
