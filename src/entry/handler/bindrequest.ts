import type { Result } from 'ts-results';
import { result, type CustomerId, type Ms } from '../../base/index.js';
import type { ServiceDocument, Target } from '../../core/document/index.js';
import type { Refusal, RequestHead } from '../../wire/index.js';
import type { EntryContext } from '../entrycontext.js';
import type { Binding } from '../component/index.js';
import type { Caller } from './caller.js';
import { headerOf } from './headerof.js';

const FREE: Binding = { type: 'free' };

/** A request before it is bound. */
interface UnboundRequest {
  readonly document: ServiceDocument;
  readonly target: Target;
  readonly head: RequestHead;
  readonly remainingMs: Ms;
}

/** Binds a request to the ticket table of one sidecar if its headers contain a ticket or an idempotency key. */
export async function bindRequest(
  context: EntryContext,
  { requestId, request }: Caller,
  { document, target, head, remainingMs }: UnboundRequest,
): Promise<Result<Binding, Refusal>> {
  const ticket = headerOf(request.headers, 'tarragonstile-ticket');
  const idempotencyKey = headerOf(request.headers, 'idempotency-key');
  if (ticket === undefined && idempotencyKey === undefined) return result.Ok(FREE);
  const routeRequest = { requestId, target, prefixHash: head.prefixHash, remainingMs };
  return context.tickets.bind({
    requestId,
    customer: head.customer as CustomerId,
    service: document.service,
    ticket,
    idempotencyKey,
    method: head.method,
    path: head.path,
    body: head.body,
    ticketValidMs: document.limits?.ticketValidMs ?? 0,
    choose: (tried) => context.router.choose({ ...routeRequest, tried }),
  });
}
