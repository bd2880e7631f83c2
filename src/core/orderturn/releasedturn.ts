import type { Ms, Revision } from '../../base/index.js';
import type { TurnRecord } from './turnrecord.js';
import type { TurnState } from './turnstate.js';

/** The write by which a holder gives its right up; undefined if it has none. */
interface TurnRelease {
  readonly expectedRevision: Revision;
  readonly value: TurnRecord;
}

/**
 * Gives the right up. A holder that still waited for the one before says so: its own next process has
 * to wait as well.
 */
export function releasedTurn(
  { own, host, address, nonce }: TurnState,
  nowMs: Ms,
): TurnRelease | undefined {
  if (!own) return undefined;
  const isActive = nowMs >= own.ordersFromMs;
  const value = { host, address, nonce, sentAtMs: nowMs, isActive, isReleased: true };
  return { expectedRevision: own.revision, value };
}
