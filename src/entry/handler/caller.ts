import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RequestId } from '../../base/index.js';

/** One caller's request. */
export interface Caller {
  readonly requestId: RequestId;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}
