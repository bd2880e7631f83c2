import type { Failure } from '../../base/index.js';

/** A call to a peer that gave no answer. */
export interface MeshFailure extends Failure {
  readonly type: 'peer-unreachable';
  readonly address: string;
}
