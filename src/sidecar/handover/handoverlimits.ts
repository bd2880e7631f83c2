import type { HandOverLimits } from '../../core/handover/index.js';

const MEBIBYTE = 1_048_576;
const TOTAL_BYTES = 64 * MEBIBYTE;

/** Size reserved in a gRPC message for everything but the cache. */
const HEAD_BYTES = 65_536;

/** Returns the limits of a hand-over; `totalBytes` is the sidecar's `cacheHandOverBytes`, 64 MiB by default. */
export function handOverLimits(totalBytes = TOTAL_BYTES): HandOverLimits {
  const messageBytes = TOTAL_BYTES - HEAD_BYTES;
  return { totalBytes, messageBytes, concurrentSessions: 4, timeoutMs: 2000 };
}
