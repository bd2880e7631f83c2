import type { Failure } from '../../base/index.js';

/** The first inconsistency found in an audit trail. */
export interface AuditFailure extends Failure {
  readonly type: 'audit-broken';
  /** Index of the inconsistent entry. */
  readonly index: number;
}
