import type { ModelId, Ms, ServiceId, TraitId, UpstreamId } from '../../base/index.js';

/** A run of a request at an upstream, as far as it is evidence on the traits of the request. */
export interface UpstreamRun {
  /** Returns the id of what was asked. It is a hash, computed only while anything is suspected. */
  readonly content: () => TraitId;
  /** Traits for the parts of its prompt that other requests share. */
  readonly parts: readonly TraitId[];
  readonly service: ServiceId;
  readonly model: ModelId | undefined;
  readonly path: string;
  readonly upstream: UpstreamId;
  readonly softwareVersion: string | undefined;
  readonly sentAtMs: Ms;
  /** When the first data of its answer arrived; undefined if none has. */
  readonly answerBeganAtMs: Ms | undefined;
  /** Traits that were suspected already, so that no other request with one of them ran. */
  readonly trial: readonly TraitId[];
}
