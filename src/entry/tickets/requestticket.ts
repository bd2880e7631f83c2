import { Metadata } from '@grpc/grpc-js';
import type { Result } from 'ts-results';
import { result, type Ms } from '../../base/index.js';
import { refuse } from '../../core/refusal/index.js';
import type { Refusal, TicketReply, TicketRequest, WorkClient } from '../../wire/index.js';

/** Requests a ticket from one sidecar. If the answer is lost, only an unused ticket is lost with it. */
export function requestTicket(
  client: WorkClient,
  request: TicketRequest,
  deadlineWallMs: Ms,
): Promise<Result<TicketReply, Refusal>> {
  return new Promise((resolve) => {
    client.issueTicket(
      request,
      new Metadata(),
      { deadline: deadlineWallMs },
      (error, reply?: TicketReply) => {
        const refusal = error ? refuse('sidecar-unreachable', error.message) : reply?.refusal;
        if (refusal) resolve(result.Err(refusal));
        else if (reply) resolve(result.Ok(reply));
      },
    );
  });
}
