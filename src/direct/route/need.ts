import type { ModelId, ServiceId } from '../../base/index.js';

/** What a request needs of an upstream. */
export interface Need {
  readonly service: ServiceId;
  readonly model?: ModelId;
  readonly adapter?: string;
}
