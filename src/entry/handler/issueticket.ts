import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import type { Kind, Target } from '../../core/document/index.js';
import { refuse } from '../../core/refusal/index.js';
import type { Refusal, TicketReply } from '../../wire/index.js';
import type { Access } from '../access.js';
import type { Desk } from '../desk.js';
import type { Caller } from './caller.js';
import { findOffer } from './findoffer.js';
import type { Handler } from './handler.js';
import { kindOf } from './kindof.js';
import { readBody } from './readbody.js';
import { refuseCaller } from './refusecaller.js';
import { sendJson } from './sendjson.js';

const CREATED_STATUS = 201;

/** What a ticket is for: a plain service, or a model or adapter. */
interface Wish {
  readonly service?: string;
  readonly model?: string;
  readonly validMs?: number;
}

/** A ticket's target and whose it is. */
interface Aim {
  readonly access: Access;
  readonly target: Target;
  readonly validMs: number;
}

function parse(body: Buffer): Result<Wish, Refusal> {
  try {
    const wish = JSON.parse(body.toString()) as Wish | null;
    if (typeof wish === 'object' && wish !== null) return result.Ok(wish);
    return result.Err(refuse('malformed', 'The body has to be a JSON object.'));
  } catch (thrown) {
    return result.Err(refuse('malformed', `The body is not JSON: ${(thrown as Error).message}`));
  }
}

function firstPlainKind({ document }: Access): string {
  const route = document.groups.flatMap(({ routes = [] }) => routes).at(0);
  return route?.kind ?? '';
}

function plainAim(accesses: readonly Access[], wish: Wish): Result<Aim, Refusal> {
  const access = accesses.find(({ document }) => document.service === wish.service);
  if (!access) {
    return result.Err(refuse('service-unknown', `You have no service "${wish.service ?? ''}".`));
  }
  const kind = kindOf(access.document, {}, firstPlainKind(access));
  return kind.map((found: Kind) => ({
    access,
    target: { service: access.document.service, kind: found },
    validMs: wish.validMs ?? 0,
  }));
}

function aimOf(accesses: readonly Access[], wish: Wish): Result<Aim, Refusal> {
  if (wish.model === undefined) return plainAim(accesses, wish);
  const offer = findOffer(accesses, wish.model);
  if (!offer) {
    return result.Err(refuse('model-unknown', `No service of yours offers "${wish.model}".`));
  }
  const { access, model, adapter } = offer;
  const kind = kindOf(access.document, {}, model.defaultKind);
  return kind.map((found: Kind) => ({
    access,
    target: { service: access.document.service, kind: found, model: model.id, adapter },
    validMs: wish.validMs ?? 0,
  }));
}

async function issue(
  desk: Desk,
  { requestId }: Caller,
  { access, target, validMs }: Aim,
): Promise<Result<TicketReply, Refusal>> {
  const remainingMs = target.kind.deadlineMs;
  const want = { requestId, target, prefixHash: '', remainingMs, tried: [] };
  const choice = await desk.router.choose(want);
  if (choice.err) return choice;
  const customer = access.customer.id;
  const request = { customer, service: target.service, requestId, validMs };
  const reply = await desk.tickets.issue(choice.val, request);
  // The router counts a choice as work, which a ticket is not yet.
  desk.router.learn({ upstream: choice.val.upstream, want, type: 'cancelled' });
  if (reply.ok && reply.val.refusal) return result.Err(reply.val.refusal);
  return reply;
}

/** `POST /v1/tickets`: a ticket under which one request runs at most once. */
export const issueTicket: Handler = async (desk, caller) => {
  const { authorization } = caller.request.headers;
  const accesses = desk.keys.find(authorization, desk.directory.documents());
  if (accesses.length === 0) {
    refuseCaller(desk, caller, refuse('unauthenticated', 'No service knows this key.'));
    return;
  }
  const body = await readBody(caller.request, desk.settings.bodyBytes);
  const aim = body.andThen(parse).andThen((wish) => aimOf(accesses, wish));
  const ticket = aim.err ? aim : await issue(desk, caller, aim.val);
  if (ticket.err) refuseCaller(desk, caller, ticket.val);
  else {
    const { validMs } = ticket.val;
    sendJson(caller, CREATED_STATUS, { ticket: ticket.val.ticket, validMs });
  }
};
