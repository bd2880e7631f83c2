import { once } from 'node:events';
import type { Ms } from '../../base/index.js';
import type { Target } from '../../core/document/index.js';
import type { RequestHead } from '../../wire/index.js';
import type { Access } from '../access.js';
import { CallerAnswer } from '../answer/index.js';
import type { EntryContext } from '../entrycontext.js';
import { lastAnswer } from '../lastanswer.js';
import { RequestRun } from '../requestrun.js';
import { bindRequest } from './bindrequest.js';
import type { Caller } from './caller.js';
import { refuseCaller } from './refusecaller.js';
import { unknownIfBound } from './unknownifbound.js';

/** A request whose form has been checked. */
interface CheckedRequest {
  readonly access: Access;
  readonly target: Target;
  readonly head: RequestHead;
  readonly deadlineAtMs: Ms;
}

async function execute(
  context: EntryContext,
  caller: Caller,
  checked: CheckedRequest,
): Promise<void> {
  const { requestId, response } = caller;
  const { access, target, head, deadlineAtMs } = checked;
  const remainingMs = Math.max(0, deadlineAtMs - context.clock.nowMs());
  const unbound = { document: access.document, target, head, remainingMs };
  const binding = await bindRequest(context, caller, unbound);
  if (binding.err) {
    refuseCaller(context, caller, binding.val);
    return;
  }
  const { heldAnswers, limits } = context;
  const bounds = { limitBytes: limits.heldAnswerBytes, heldAnswers };
  const beforeHead = (send: () => void) => lastAnswer.beforeHead(context, response, send);
  const answer = new CallerAnswer(response, requestId, bounds, beforeHead);
  const prepared = { requestId, target, head, binding: binding.val, deadlineAtMs };
  const run = new RequestRun(context, prepared, answer);
  context.runs.add(run);
  response.once('close', () => run.gone());
  const ended = run.run();
  if (response.destroyed) run.gone();
  const end = await ended;
  context.runs.delete(run);
  const { customer, service, model } = head;
  context.log.info('request', { requestId, customer, service, model, end });
}

/** Resolves when the caller has received its answer or has disconnected. */
async function taken({ response }: Caller): Promise<void> {
  if (response.writableFinished || response.destroyed) return;
  await once(response, 'close');
}

/** Serves a request until its answer is complete or it ends with a refusal; refuses it if a limit is reached. */
export async function serve(
  context: EntryContext,
  caller: Caller,
  checked: CheckedRequest,
): Promise<void> {
  const { document, customer } = checked.access;
  const leave = context.gate.enter(document.service, customer);
  if (leave.err) {
    refuseCaller(context, caller, unknownIfBound(caller, leave.val));
    return;
  }
  try {
    await execute(context, caller, checked);
    await taken(caller);
  } finally {
    leave.val();
  }
}
