import type { Ms } from '../../base/index.js';
import { callerMemoryRules } from './callermemoryrules.js';
import type { Holder } from './holder.js';

/**
 * Returns the connections to close so that `excessBytes` become free: those that hold most for longest without progress
 * first. A newcomer holds little, so that connections that sit there cannot shut others out.
 */
export function chooseEvictions<Id>(
  holders: readonly Holder<Id>[],
  excessBytes: number,
  nowMs: Ms,
): readonly Id[] {
  const cost = ({ heldBytes, progressAtMs }: Holder<Id>) =>
    heldBytes * Math.max(callerMemoryRules.minIdleMs, nowMs - progressAtMs);
  const ranked = [...holders].sort((one, other) => cost(other) - cost(one));
  const chosen: Id[] = [];
  let leftBytes = excessBytes;
  for (const { id, heldBytes } of ranked) {
    if (leftBytes <= 0) break;
    chosen.push(id);
    leftBytes -= heldBytes;
  }
  return chosen;
}
