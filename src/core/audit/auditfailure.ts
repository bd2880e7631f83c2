import type { Failure } from '../../base/index.js';

/** Where an audit trail does not hold. */
export interface AuditFailure extends Failure {
  readonly type: 'audit-broken';
  /** Entry that does not fit. */
  readonly index: number;
}
