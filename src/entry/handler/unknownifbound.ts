import { Executed, type Refusal } from '../../wire/index.js';
import type { Caller } from './caller.js';

/**
 * Adjusts a refusal that was made without consulting a ticket table: for a request with a ticket or a key, `executed`
 * becomes unknown. An earlier send of the same request may have run, and only the table can rule that out.
 */
export function unknownIfBound({ request }: Caller, refusal: Refusal): Refusal {
  const { headers } = request;
  if (!headers['tarragonstile-ticket'] && !headers['idempotency-key']) return refusal;
  return { ...refusal, executed: Executed.EXECUTED_UNKNOWN };
}
