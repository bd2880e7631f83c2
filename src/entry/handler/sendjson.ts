import type { Caller } from './caller.js';

/** Answers with a JSON body. */
export function sendJson({ requestId, response }: Caller, status: number, body: object): void {
  const headers = { 'content-type': 'application/json', 'x-request-id': requestId };
  response.writeHead(status, headers).end(JSON.stringify(body));
}
