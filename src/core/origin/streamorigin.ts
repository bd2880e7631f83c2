import type { ServiceId } from '../../base/index.js';

/** What a stream depends on from its first event to its last: other software or weights cannot continue it. */
export interface StreamOrigin {
  readonly service: ServiceId;
  /** Software version of the upstream; undefined if it reports none. */
  readonly softwareVersion: string | undefined;
  /** Version of the model's weights; undefined if the upstream did not report one. */
  readonly weightsVersion: string | undefined;
}
