import type { Ms, Revision } from '../../base/index.js';
import type { TurnRecord } from './turnrecord.js';
import type { TurnState } from './turnstate.js';

/** Takes news of the record; another's name in it ends the own right at once. */
export function onRecord(
  state: TurnState,
  value: TurnRecord,
  revision: Revision,
  nowMs: Ms,
): TurnState {
  if (state.seen && revision <= state.seen.revision) return state;
  const seen = { value, revision, seenAtMs: nowMs };
  const isLost = state.own !== undefined && value.nonce !== state.nonce;
  return { ...state, seen, own: isLost ? undefined : state.own };
}
