import type { Result } from 'ts-results';
import { refuse } from '../../core/refusal/index.js';
import type { Refusal } from '../../wire/index.js';
import type { Access } from '../access.js';
import type { EntryContext } from '../entrycontext.js';
import type { Caller } from './caller.js';
import type { Handler } from './handler.js';
import { readBody } from './readbody.js';
import { refuseCaller } from './refusecaller.js';
import { serve } from './serve.js';

type CheckedRequest = Parameters<typeof serve>[2];

/** The two steps that check a request, before and after its body is read. */
interface Checks<Destination> {
  /** Finds the destination of the request from its head alone. */
  resolve(caller: Caller, accesses: readonly Access[]): Result<Destination, Refusal>;
  check(
    context: EntryContext,
    caller: Caller,
    destination: Destination,
    body: Buffer,
  ): Result<CheckedRequest, Refusal>;
}

/** Creates a handler that authenticates its caller by the key, checks the request and serves it. */
export function checkedHandler<Destination>({ resolve, check }: Checks<Destination>): Handler {
  return async (context, caller) => {
    const { request } = caller;
    const accesses = context.keys.find(
      request.headers.authorization,
      context.directory.documents(),
    );
    if (accesses.length === 0) {
      refuseCaller(context, caller, refuse('unauthenticated', 'No service knows this key.'));
      return;
    }
    const destination = resolve(caller, accesses);
    if (destination.err) {
      refuseCaller(context, caller, destination.val);
      return;
    }
    const body = await readBody(context, caller);
    const checked = body.andThen((read) => check(context, caller, destination.val, read));
    if (checked.err) refuseCaller(context, caller, checked.val);
    else await serve(context, caller, checked.val);
  };
}
