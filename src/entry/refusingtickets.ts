import type { Result } from 'ts-results';
import { result } from '../base/index.js';
import { conclude } from '../core/attempt/index.js';
import { refuse } from '../core/refusal/index.js';
import type { Refusal } from '../wire/index.js';
import type { Tickets } from './part/index.js';

const refusal = refuse('tickets-unsupported', 'This entry handles no tickets.');

/** An entry that knows no tickets, and so runs no request that asks for one. */
export class RefusingTickets implements Tickets {
  issue(): Promise<Result<never, Refusal>> {
    return Promise.resolve(result.Err(refusal));
  }

  bind(): Promise<Result<never, Refusal>> {
    return Promise.resolve(result.Err(refusal));
  }

  conclude(refusals: readonly Refusal[]): Refusal {
    return conclude(refusals);
  }
}
