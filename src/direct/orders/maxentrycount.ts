/**
 * Bound on a number of entries, or of parts of a shared budget, that another process names: eight times the 520 entries
 * that the system is designed for. A larger one would leave nothing of a budget to an entry.
 */
export const maxEntryCount = 4160;
