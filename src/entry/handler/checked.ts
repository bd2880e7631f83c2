import type { Result } from 'ts-results';
import { refuse } from '../../core/refusal/index.js';
import type { Refusal } from '../../wire/index.js';
import type { Access } from '../access.js';
import type { Desk } from '../desk.js';
import type { Caller } from './caller.js';
import type { Handler } from './handler.js';
import { readBody } from './readbody.js';
import { refuseCaller } from './refusecaller.js';
import { serve } from './serve.js';

type Served = Parameters<typeof serve>[2];

/** Makes a request ready from its caller's accesses, in the two steps before and after its body. */
interface Checks<Aim> {
  /** What can be told from the head alone. */
  aim(caller: Caller, accesses: readonly Access[]): Result<Aim, Refusal>;
  check(desk: Desk, caller: Caller, aim: Aim, body: Buffer): Result<Served, Refusal>;
}

/** A handler that knows its caller by the key, checks the request and serves it. */
export function checked<Aim>({ aim, check }: Checks<Aim>): Handler {
  return async (desk, caller) => {
    const { request } = caller;
    const accesses = desk.keys.find(request.headers.authorization, desk.directory.documents());
    if (accesses.length === 0) {
      refuseCaller(desk, caller, refuse('unauthenticated', 'No service knows this key.'));
      return;
    }
    const aimed = aim(caller, accesses);
    if (aimed.err) {
      refuseCaller(desk, caller, aimed.val);
      return;
    }
    const body = await readBody(request, desk.settings.bodyBytes);
    const served = body.andThen((read) => check(desk, caller, aimed.val, read));
    if (served.err) refuseCaller(desk, caller, served.val);
    else await serve(desk, caller, served.val);
  };
}
