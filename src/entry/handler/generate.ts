import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import { refuse } from '../../core/refusal/index.js';
import type { Refusal } from '../../wire/index.js';
import type { Access } from '../access.js';
import type { EntryContext } from '../entrycontext.js';
import type { Caller } from './caller.js';
import { checkedHandler } from './checkedhandler.js';
import { deadlineOf } from './deadlineof.js';
import { findOffer } from './findoffer.js';
import { kindOf } from './kindof.js';
import { leadingBlock } from './leadingblock.js';
import { parseCompletion } from './parsecompletion.js';
import type { serve } from './serve.js';

/** Approximate JSON bytes per token. The estimate is used for queueing only, never for limits. */
const BYTES_PER_TOKEN = 4;

type CheckedRequest = Parameters<typeof serve>[2];

function check(
  context: EntryContext,
  { request }: Caller,
  accesses: readonly Access[],
  body: Buffer,
): Result<CheckedRequest, Refusal> {
  const parsed = parseCompletion(body);
  if (parsed.err) return parsed;
  const completion = parsed.val;
  const offer = findOffer(accesses, completion.model);
  if (!offer) {
    return result.Err(refuse('model-unknown', `No service of yours offers "${completion.model}".`));
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
    streaming: completion.stream === true,
    continuation: undefined,
    prefixHash: context.hashPrefix(`${adapter ?? model.id}\n${leadingBlock(completion)}`),
    promptTokens: Math.ceil(body.length / BYTES_PER_TOKEN),
    maxTokens: Number(completion.max_completion_tokens ?? completion.max_tokens) || 0,
  };
  const target = { service, kind: kind.val, model: model.id, adapter };
  const deadlineAtMs = context.clock.nowMs() + deadlineMs.val;
  return result.Ok({ access, target, head, deadlineAtMs });
}

/** `POST /v1/chat/completions` and `POST /v1/completions`: has an engine generate a completion. */
export const generate = checkedHandler<readonly Access[]>({
  resolve: (_caller, accesses) => result.Ok(accesses),
  check,
});
