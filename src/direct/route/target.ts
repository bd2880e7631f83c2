import type { ModelId, ServiceId } from '../../base/index.js';

/** Service, model and adapter that a request requires. */
export interface Target {
  readonly service: ServiceId;
  readonly model?: ModelId;
  readonly adapter?: string;
}
