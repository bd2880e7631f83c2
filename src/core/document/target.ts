import type { AdapterId, ModelId, ServiceId } from '../../base/index.js';
import type { Kind } from './kind.js';

/** Service, kind, model and adapter that a request requires, resolved from the document. */
export interface Target {
  readonly service: ServiceId;
  readonly kind: Kind;
  /** Absent for plain services. */
  readonly model?: ModelId;
  readonly adapter?: AdapterId;
}
