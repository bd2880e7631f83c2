import type { ServerResponse } from 'node:http';
import type { Refusal } from '../wire/index.js';
import { problem } from './problem.js';

/** Answers with an RFC 9457 problem, unless the response has started. */
export function sendProblem(response: ServerResponse, refusal: Refusal, requestId: string): void {
  if (response.headersSent || response.destroyed) return;
  const { status, headers, body } = problem(refusal, requestId);
  response.writeHead(status, { ...headers, 'x-request-id': requestId }).end(body);
}
