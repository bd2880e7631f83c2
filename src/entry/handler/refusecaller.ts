import type { Refusal } from '../../wire/index.js';
import type { EntryContext } from '../entrycontext.js';
import { lastAnswer } from '../lastanswer.js';
import { sendProblem } from '../sendproblem.js';
import type { Caller } from './caller.js';

function hasBody({ headers }: Caller['request']): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/** Refuses a request that has not been sent to any upstream. */
export function refuseCaller(context: EntryContext, caller: Caller, refusal: Refusal): void {
  const { requestId, request, response } = caller;
  // The rest of the body is discarded, so the connection cannot be reused.
  if (!request.complete && hasBody(request)) lastAnswer.announce(response, context.clock);
  lastAnswer.beforeHead(context, response, () => sendProblem(response, refusal, requestId));
  context.metrics.count('request', 1, { end: refusal.type });
  context.log.info('request', { requestId, end: refusal.type, detail: refusal.detail });
}
