import type { Result } from 'ts-results';
import { result, type Incarnation } from '../base/index.js';
import { refuse } from '../core/refusal/index.js';
import type { Refusal, RequestHead, TicketReply } from '../wire/index.js';
import type { Permit, RunOnce } from './part/index.js';

const NO_INCARNATION = 0 as Incarnation;

/** A sidecar that issues no tickets, and so runs no request that names one. */
export class RefusingTickets implements RunOnce {
  issue(): TicketReply {
    const refusal = refuse('tickets-unsupported', 'This sidecar issues no tickets.');
    return { ticket: '', incarnation: NO_INCARNATION, validMs: 0, refusal };
  }

  begin(_requestId: string, head: RequestHead): Promise<Result<Permit, Refusal>> {
    if (head.ticket) {
      const refusal = refuse('tickets-unsupported', 'This sidecar issues no tickets.');
      return Promise.resolve(result.Err(refusal));
    }
    return Promise.resolve(result.Ok({ type: 'run', record: () => {} }));
  }
}
