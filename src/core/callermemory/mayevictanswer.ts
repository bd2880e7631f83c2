import type { Ms } from '../../base/index.js';
import { callerMemoryRules as rules } from './callermemoryrules.js';

/** What is held of upstreams' answers for one request. */
interface HeldAnswer {
  readonly heldBytes: number;
  /** Time since a block of memory was last taken for it. */
  readonly idleMs: Ms;
}

/**
 * Returns true if a request may be ended for the memory that its answer takes. An answer that goes on is spared unless
 * the limit is far exceeded; one that comes in drops counts as standing until it has filled a block.
 */
export function mayEvictAnswer(
  { heldBytes, idleMs }: HeldAnswer,
  { totalBytes, limitBytes }: { readonly totalBytes: number; readonly limitBytes: number },
): boolean {
  if (heldBytes < rules.minAnswerBytes || totalBytes <= limitBytes) return false;
  return idleMs >= rules.answerIdleMs || totalBytes > limitBytes * rules.severe;
}
