/** So few entries are cut into this many parts, as one more counts much among them. */
const LEAST = 8;
/** Entries that may come before their number is told again. */
const MARGIN = 2;
/** Before the number is known: as on a deployment of 25 entries, with a margin. */
const UNKNOWN = 32;

/**
 * Into how many parts a rate is cut for entries that hear of no holder. Each part more takes from all of them: with a
 * quarter more than there are, 25 entries had 0.78 of each limit in the 2.1 s after a lost holder.
 */
export function quotaParts(entryCount: number | undefined): number {
  return entryCount === undefined ? UNKNOWN : Math.max(LEAST, entryCount + MARGIN);
}
