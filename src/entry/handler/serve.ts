import { once } from 'node:events';
import type { Ms } from '../../base/index.js';
import type { Target } from '../../core/document/index.js';
import type { RequestHead } from '../../wire/index.js';
import type { Access } from '../access.js';
import { CallerAnswer } from '../answer/index.js';
import type { Desk } from '../desk.js';
import { Run } from '../run.js';
import { bindRun } from './bindrun.js';
import type { Caller } from './caller.js';
import { refuseCaller } from './refusecaller.js';
import { unlessBound } from './unlessbound.js';

/** A request that has passed all checks of its form. */
interface Served {
  readonly access: Access;
  readonly target: Target;
  readonly head: RequestHead;
  readonly deadlineAtMs: Ms;
}

async function carry(desk: Desk, caller: Caller, served: Served): Promise<void> {
  const { requestId, response } = caller;
  const { access, target, head, deadlineAtMs } = served;
  const remainingMs = Math.max(0, deadlineAtMs - desk.clock.nowMs());
  const unbound = { document: access.document, target, head, remainingMs };
  const binding = await bindRun(desk, caller, unbound);
  if (binding.err) {
    refuseCaller(desk, caller, binding.val);
    return;
  }
  const answer = new CallerAnswer(response, requestId, desk.limits.heldAnswerBytes);
  const work = { requestId, target, head, binding: binding.val, deadlineAtMs };
  const run = new Run(desk, work, answer);
  desk.runs.add(run);
  response.once('close', () => run.gone());
  const ended = run.run();
  if (response.destroyed) run.gone();
  const end = await ended;
  desk.runs.delete(run);
  const { customer, service, model } = head;
  desk.log.info('request', { requestId, customer, service, model, end });
}

/** Resolves when the caller has taken its answer or has left. */
async function taken({ response }: Caller): Promise<void> {
  if (response.writableFinished || response.destroyed) return;
  await once(response, 'close');
}

/** Serves a request, if there is room for it, to its whole answer or a typed end. */
export async function serve(desk: Desk, caller: Caller, served: Served): Promise<void> {
  const { document, customer } = served.access;
  const leave = desk.gate.enter(document.service, customer);
  if (leave.err) {
    refuseCaller(desk, caller, unlessBound(caller, leave.val));
    return;
  }
  try {
    await carry(desk, caller, served);
    await taken(caller);
  } finally {
    leave.val();
  }
}
