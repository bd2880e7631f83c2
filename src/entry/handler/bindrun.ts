import type { Result } from 'ts-results';
import { result, type CustomerId, type Ms } from '../../base/index.js';
import type { ServiceDocument, Target } from '../../core/document/index.js';
import type { Refusal, RequestHead } from '../../wire/index.js';
import type { Desk } from '../desk.js';
import type { Binding } from '../part/index.js';
import type { Caller } from './caller.js';
import { headerOf } from './headerof.js';

const FREE: Binding = { type: 'free' };

/** What is known of a request before it is bound. */
interface Unbound {
  readonly document: ServiceDocument;
  readonly target: Target;
  readonly head: RequestHead;
  readonly remainingMs: Ms;
}

/** Ties a request to one sidecar's run-once table if its headers name a ticket or a key. */
export async function bindRun(
  desk: Desk,
  { requestId, request }: Caller,
  { document, target, head, remainingMs }: Unbound,
): Promise<Result<Binding, Refusal>> {
  const ticket = headerOf(request.headers, 'tarragonstile-ticket');
  const idempotencyKey = headerOf(request.headers, 'idempotency-key');
  if (ticket === undefined && idempotencyKey === undefined) return result.Ok(FREE);
  const want = { requestId, target, prefixHash: head.prefixHash, remainingMs };
  return desk.tickets.bind({
    requestId,
    customer: head.customer as CustomerId,
    service: document.service,
    ticket,
    idempotencyKey,
    method: head.method,
    path: head.path,
    body: head.body,
    ticketValidMs: document.limits?.ticketValidMs ?? 0,
    choose: (tried) => desk.router.choose({ ...want, tried }),
  });
}
