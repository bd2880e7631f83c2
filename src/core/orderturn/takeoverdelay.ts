import type { HostId, Ms } from '../../base/index.js';
import { hash32 } from '../hash/index.js';

/** Entries take over from a lost holder one after the other, so that they do not all try at once. */
const PLACES = 8;
const STEP_MS = 40;
/**
 * A host with this much of a core waits for `UNIT_MS` more, a larger one less: whoever holds the right plans for all
 * upstreams and answers all entries, and on a quarter of a core the first plan stopped everything else for 1.8 s.
 */
const UNIT_MS = 150;
/** However small a host is, orders are not put off longer than this for a larger one that may not be there. */
const MOST_MS = 600;

/** How much later than it could an entry seeks the right to give orders, by the cores that it has. */
export function takeoverDelay(host: HostId, cores: number): Ms {
  const place = (hash32(host) % PLACES) * STEP_MS;
  return place + Math.min(MOST_MS, UNIT_MS / Math.max(cores, Number.EPSILON));
}
