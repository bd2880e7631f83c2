const BYTES_PER_CREDIT = 8192;

/** Credit that one data frame uses up: one, and one more for each 8 KiB. */
export function creditCost(payload: Uint8Array): number {
  return 1 + Math.floor(payload.length / BYTES_PER_CREDIT);
}
