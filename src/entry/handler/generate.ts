import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import { refuse } from '../../core/refusal/index.js';
import type { Refusal } from '../../wire/index.js';
import type { Access } from '../access.js';
import type { Desk } from '../desk.js';
import type { Caller } from './caller.js';
import { checked } from './checked.js';
import { deadlineOf } from './deadlineof.js';
import { findOffer } from './findoffer.js';
import { kindOf } from './kindof.js';
import { leadingBlock } from './leadingblock.js';
import { parseAsked } from './parseasked.js';
import type { serve } from './serve.js';

/** A token is about so many bytes of JSON; only a guess for queues, never for limits. */
const BYTES_PER_TOKEN = 4;

type Served = Parameters<typeof serve>[2];

function check(
  desk: Desk,
  { request }: Caller,
  accesses: readonly Access[],
  body: Buffer,
): Result<Served, Refusal> {
  const parsed = parseAsked(body);
  if (parsed.err) return parsed;
  const asked = parsed.val;
  const offer = findOffer(accesses, asked.model);
  if (!offer) {
    return result.Err(refuse('model-unknown', `No service of yours offers "${asked.model}".`));
  }
  const { access, model, adapter } = offer;
  const kind = kindOf(access.document, request.headers, model.defaultKind);
  if (kind.err) return kind;
  const deadlineMs = deadlineOf(request.headers, kind.val.deadlineMs);
  if (deadlineMs.err) return deadlineMs;
  const { service } = access.document;
  const head = {
    customer: access.customer.id,
    service,
    kind: kind.val.name,
    model: model.id,
    adapter: adapter ?? '',
    method: 'POST',
    path: request.url ?? '',
    headers: [],
    body,
    deadlineMs: deadlineMs.val,
    repeatable: kind.val.repeatable,
    ticket: '',
    incarnation: 0,
    streaming: asked.stream === true,
    continuation: undefined,
    prefixHash: desk.hashPrefix(`${adapter ?? model.id}\n${leadingBlock(asked)}`),
    promptTokens: Math.ceil(body.length / BYTES_PER_TOKEN),
    maxTokens: Number(asked.max_completion_tokens ?? asked.max_tokens) || 0,
  };
  const target = { service, kind: kind.val, model: model.id, adapter };
  const deadlineAtMs = desk.clock.nowMs() + deadlineMs.val;
  return result.Ok({ access, target, head, deadlineAtMs });
}

/** `POST /v1/chat/completions` and `/v1/completions`. */
export const generate = checked<readonly Access[]>({
  aim: (_caller, accesses) => result.Ok(accesses),
  check,
});
