/**
 * Data frames of one answer that a sidecar may send before its entry has granted more. It bounds what
 * an entry holds for a slow caller.
 */
export const INITIAL_CREDIT = 32;
