import type { Ms } from '../../base/index.js';
import { stopLimits } from './stoplimits.js';

/** Times within a planned stop, from its beginning. */
interface StopTimes {
  /** From here on no request is sent to an upstream any more. */
  readonly refusingMs: Ms;
  /** When requests whose answers are not complete are ended. */
  readonly endingMs: Ms;
}

/** Returns the times of a stop that bound what requests may still do. */
export function stopTimes(graceMs: Ms): StopTimes {
  const { refusingShare, endingShare } = stopLimits;
  return { refusingMs: graceMs * refusingShare, endingMs: graceMs * endingShare };
}
