import type { Ms, RequestId } from '../base/index.js';
import type { Target } from '../core/document/index.js';
import type { RequestHead } from '../wire/index.js';
import type { Binding } from './component/index.js';

/** A checked request that is ready to be sent to an upstream. */
export interface PreparedRequest {
  readonly requestId: RequestId;
  readonly target: Target;
  /** Each attempt sends a copy with its own deadline, ticket and continuation. */
  readonly head: RequestHead;
  readonly binding: Binding;
  readonly deadlineAtMs: Ms;
}
