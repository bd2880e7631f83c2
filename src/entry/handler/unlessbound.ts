import { Executed, type Refusal } from '../../wire/index.js';
import type { Caller } from './caller.js';

/**
 * A refusal that is made without asking a table. With a ticket or a key, an earlier send of the same
 * request may have run, and only the table could deny that.
 */
export function unlessBound({ request }: Caller, refusal: Refusal): Refusal {
  const { headers } = request;
  if (!headers['tarragonstile-ticket'] && !headers['idempotency-key']) return refusal;
  return { ...refusal, executed: Executed.EXECUTED_UNKNOWN };
}
