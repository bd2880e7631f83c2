import type { EntryContext } from '../entrycontext.js';
import { lastAnswer } from '../lastanswer.js';
import type { Caller } from './caller.js';

/** Answers with a JSON body. */
export function sendJson(
  context: EntryContext,
  { requestId, response }: Caller,
  status: number,
  body: object,
): void {
  const headers = { 'content-type': 'application/json', 'x-request-id': requestId };
  lastAnswer.beforeHead(context, response, () => {
    response.writeHead(status, headers).end(JSON.stringify(body));
  });
}
