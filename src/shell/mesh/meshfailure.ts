import type { Failure } from '../../base/index.js';

/** Failure of a call to a peer. */
export interface MeshFailure extends Failure {
  readonly type: 'peer-unreachable';
  readonly address: string;
}
