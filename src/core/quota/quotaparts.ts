/** Minimum number of parts; with few entries, one more entry would have a large effect. */
const MIN_PARTS = 8;
/** Number of entries that may join before the entry count is updated. */
const MARGIN = 2;
/** Used while the entry count is unknown: suits a deployment of 25 entries, with a margin. */
const UNKNOWN = 32;

/**
 * Returns the number of parts into which a rate is divided while entries have no contact with the holder. Every unused
 * part reduces what all entries get: with a quarter more parts than entries, 25 entries got 0.78 of each limit in the
 * 2.1 s after the holder was lost.
 */
export function quotaParts(entryCount: number | undefined): number {
  return entryCount === undefined ? UNKNOWN : Math.max(MIN_PARTS, entryCount + MARGIN);
}
