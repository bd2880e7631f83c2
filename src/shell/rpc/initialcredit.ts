/**
 * Credit of an answer before its entry has granted more: 32 data frames, or 256 KiB of large ones. It
 * bounds what an entry holds for a slow caller.
 */
export const INITIAL_CREDIT = 32;
