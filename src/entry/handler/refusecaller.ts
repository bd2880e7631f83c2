import type { Refusal } from '../../wire/index.js';
import { sendProblem } from '../sendproblem.js';
import type { Desk } from '../desk.js';
import type { Caller } from './caller.js';

function hasBody({ headers }: Caller['request']): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/** Refuses a request before it has gone anywhere. */
export function refuseCaller(desk: Desk, caller: Caller, refusal: Refusal): void {
  const { requestId, request, response } = caller;
  // What is left of the body is not read, so the connection cannot be used again.
  if (!request.complete && hasBody(request)) response.setHeader('connection', 'close');
  sendProblem(response, refusal, requestId);
  desk.metrics.count('request', 1, { end: refusal.type });
  desk.log.info('request', { requestId, end: refusal.type, detail: refusal.detail });
}
