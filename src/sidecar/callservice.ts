import type { RequestId } from '../base/index.js';
import type { PlainService } from '../port/index.js';
import type { UpstreamCall } from './upstreamcall.js';

/** Returns the call function for an upstream that is a plain service. */
export function callService(service: PlainService): UpstreamCall {
  return ({ requestId, head }, signal) =>
    service.call({ ...head, requestId: requestId as RequestId }, signal);
}
