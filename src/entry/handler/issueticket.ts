import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import type { Kind, Target } from '../../core/document/index.js';
import { refuse } from '../../core/refusal/index.js';
import type { Refusal, TicketReply } from '../../wire/index.js';
import type { Access } from '../access.js';
import type { EntryContext } from '../entrycontext.js';
import type { Caller } from './caller.js';
import { findOffer } from './findoffer.js';
import type { Handler } from './handler.js';
import { kindOf } from './kindof.js';
import { readBody } from './readbody.js';
import { refuseCaller } from './refusecaller.js';
import { sendJson } from './sendjson.js';

const CREATED_STATUS = 201;

/** Body of a ticket request, which names a plain service, a model or an adapter. */
interface TicketBody {
  readonly service?: string;
  readonly model?: string;
  readonly validMs?: number;
}

/** Target of a ticket, and the customer that it is issued to. */
interface TicketTarget {
  readonly access: Access;
  readonly target: Target;
  readonly validMs: number;
}

function parse(body: Buffer): Result<TicketBody, Refusal> {
  try {
    const ticketBody = JSON.parse(body.toString()) as TicketBody | null;
    if (typeof ticketBody === 'object' && ticketBody !== null) return result.Ok(ticketBody);
    return result.Err(refuse('malformed', 'The body has to be a JSON object.'));
  } catch (thrown) {
    return result.Err(refuse('malformed', `The body is not JSON: ${(thrown as Error).message}`));
  }
}

function firstPlainKind({ document }: Access): string {
  const route = document.groups.flatMap(({ routes = [] }) => routes).at(0);
  return route?.kind ?? '';
}

function plainTarget(
  accesses: readonly Access[],
  ticketBody: TicketBody,
): Result<TicketTarget, Refusal> {
  const access = accesses.find(({ document }) => document.service === ticketBody.service);
  if (!access) {
    return result.Err(
      refuse('service-unknown', `You have no service "${ticketBody.service ?? ''}".`),
    );
  }
  const kind = kindOf(access.document, {}, firstPlainKind(access));
  return kind.map((found: Kind) => ({
    access,
    target: { service: access.document.service, kind: found },
    validMs: ticketBody.validMs ?? 0,
  }));
}

function targetOf(
  accesses: readonly Access[],
  ticketBody: TicketBody,
): Result<TicketTarget, Refusal> {
  if (ticketBody.model === undefined) return plainTarget(accesses, ticketBody);
  const offer = findOffer(accesses, ticketBody.model);
  if (!offer) {
    return result.Err(refuse('model-unknown', `No service of yours offers "${ticketBody.model}".`));
  }
  const { access, model, adapter } = offer;
  const kind = kindOf(access.document, {}, model.defaultKind);
  return kind.map((found: Kind) => ({
    access,
    target: { service: access.document.service, kind: found, model: model.id, adapter },
    validMs: ticketBody.validMs ?? 0,
  }));
}

async function issue(
  context: EntryContext,
  { requestId }: Caller,
  { access, target, validMs }: TicketTarget,
): Promise<Result<TicketReply, Refusal>> {
  const remainingMs = target.kind.deadlineMs;
  const routeRequest = { requestId, target, prefixHash: '', remainingMs, tried: [] };
  const choice = await context.router.choose(routeRequest);
  if (choice.err) return choice;
  const customer = access.customer.id;
  const request = { customer, service: target.service, requestId, validMs };
  const reply = await context.tickets.issue(choice.val, request);
  // The router counts a choice as load on the upstream, but issuing a ticket runs nothing there.
  context.router.recordOutcome({
    upstream: choice.val.upstream,
    request: routeRequest,
    type: 'cancelled',
  });
  if (reply.ok && reply.val.refusal) return result.Err(reply.val.refusal);
  return reply;
}

/** `POST /v1/tickets`: issues a ticket under which one request runs at most once. */
export const issueTicket: Handler = async (context, caller) => {
  const { authorization } = caller.request.headers;
  const accesses = context.keys.find(authorization, context.directory.documents());
  if (accesses.length === 0) {
    refuseCaller(context, caller, refuse('unauthenticated', 'No service knows this key.'));
    return;
  }
  const body = await readBody(context, caller);
  const ticketTarget = body.andThen(parse).andThen((ticketBody) => targetOf(accesses, ticketBody));
  const ticket = ticketTarget.err ? ticketTarget : await issue(context, caller, ticketTarget.val);
  if (ticket.err) refuseCaller(context, caller, ticket.val);
  else {
    const { validMs } = ticket.val;
    sendJson(context, caller, CREATED_STATUS, { ticket: ticket.val.ticket, validMs });
  }
};
