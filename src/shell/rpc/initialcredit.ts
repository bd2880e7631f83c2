/**
 * Credit of an answer before the entry grants more: 32 small data frames, or 256 KiB of large ones. It bounds what an
 * entry buffers for a slow caller.
 */
export const INITIAL_CREDIT = 32;
