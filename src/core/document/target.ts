import type { AdapterId, ModelId, ServiceId } from '../../base/index.js';
import type { Kind } from './kind.js';

/** What a caller's request is for, once its document has been found. */
export interface Target {
  readonly service: ServiceId;
  readonly kind: Kind;
  /** Absent for plain services. */
  readonly model?: ModelId;
  readonly adapter?: AdapterId;
}
