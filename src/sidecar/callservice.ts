import type { RequestId } from '../base/index.js';
import type { PlainService } from '../port/index.js';
import type { UpstreamCall } from './upstreamcall.js';

/** Calls a plain service for each request. */
export function callService(service: PlainService): UpstreamCall {
  return ({ requestId, head }, signal) =>
    service.call({ ...head, requestId: requestId as RequestId }, signal);
}
