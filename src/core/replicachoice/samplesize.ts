/** Fewer are no choice; two give most of what all would. */
const LEAST = 2;
/** Replicas that one entry may weigh, times the number of entries, for each replica that there is. */
const LOOKS_PER_REPLICA = 2;

/**
 * How many replicas an entry weighs for a request. With four entries it is all of them, or nearly so; if each of 68
 * entries weighed all of 40, then all would send to the same one until they hear of its load again.
 */
export function sampleSize(replicas: number, entries: number): number {
  return Math.max(LEAST, Math.ceil((replicas * LOOKS_PER_REPLICA) / Math.max(1, entries)));
}
