import type { HostId, Ms } from '../../base/index.js';
import { hash32 } from '../hash/index.js';

/** Spreads the takeover attempts of entries over time, so that they do not all write at once. */
const STEPS = 8;
const STEP_MS = 40;
/**
 * Extra delay of a host with one core; more cores wait less, fewer wait longer. The lease holder plans for all
 * upstreams and answers all entries, and on a quarter of a core the first plan blocked everything else for 1.8 s.
 */
const CORE_DELAY_MS = 150;
/** Bounds the extra delay of small hosts, as there may be no larger host to wait for. */
const MAX_CORE_DELAY_MS = 600;

/** Returns how long after the lease becomes free an entry waits before it tries to take it. */
export function takeoverDelay(host: HostId, cores: number): Ms {
  const place = (hash32(host) % STEPS) * STEP_MS;
  return place + Math.min(MAX_CORE_DELAY_MS, CORE_DELAY_MS / Math.max(cores, Number.EPSILON));
}
