import type { Hash } from '../audit/index.js';
import type { AcceptanceState } from './acceptancestate.js';
import type { Change } from './change.js';

const AUDIT_LIMIT = 64;

/** A change before its first step. The audit limit is an option for tests. */
export function createAcceptance(
  change: Change,
  hash: Hash,
  auditLimit = AUDIT_LIMIT,
): AcceptanceState {
  return { phase: 'reading', change, hash, auditLimit, waits: 0 };
}
