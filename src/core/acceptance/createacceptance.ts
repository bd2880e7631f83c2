import type { Hash } from '../audit/index.js';
import type { AcceptanceState } from './acceptancestate.js';
import type { Change } from './change.js';

const AUDIT_LIMIT = 64;

/** Returns the initial state for a change. Only tests set the audit limit. */
export function createAcceptance(
  change: Change,
  hash: Hash,
  auditLimit = AUDIT_LIMIT,
): AcceptanceState {
  return { phase: 'reading', change, hash, auditLimit, waits: 0 };
}
