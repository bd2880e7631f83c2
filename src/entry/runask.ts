import type { Ms, RequestId } from '../base/index.js';
import type { Target } from '../core/document/index.js';
import type { RequestHead } from '../wire/index.js';
import type { Binding } from './part/index.js';

/** A checked request, ready to be sent to an upstream. */
export interface RunAsk {
  readonly requestId: RequestId;
  readonly target: Target;
  /** Each attempt sets its own deadline, ticket and continuation in a copy of it. */
  readonly head: RequestHead;
  readonly binding: Binding;
  readonly deadlineAtMs: Ms;
}
