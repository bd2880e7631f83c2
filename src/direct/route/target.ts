import type { ModelId, ServiceId } from '../../base/index.js';
import type { StreamOrigin } from '../../core/origin/index.js';

/** Service, model and adapter that a request requires. */
export interface Target {
  readonly service: ServiceId;
  readonly model?: ModelId;
  readonly adapter?: string;
  /** Set if a stream is continued: only an upstream that can continue it serves the request. */
  readonly origin?: StreamOrigin;
  /** A stream that begins may be taken up later: only an upstream at which it may begin serves the request. */
  readonly isResumable?: boolean;
}
