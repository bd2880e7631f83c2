import type { CustomerId, Incarnation, Ms, ServiceId, UpstreamId } from '../../base/index.js';
import type { TicketTable } from '../../wire/index.js';
import type { Answer } from './answer.js';

/** What happens to a run-once table. `callId` names the call that waits for the reply. */
export type TableEvent =
  | {
      readonly type: 'issue';
      readonly callId: string;
      readonly customer: CustomerId;
      readonly service: ServiceId;
      /** 0 takes the longest that the table allows. */
      readonly validMs: Ms;
      /** At least 128 random bits in URL-safe characters. */
      readonly secret: string;
    }
  | {
      readonly type: 'begin';
      readonly callId: string;
      readonly ticket: string;
      readonly customer: CustomerId;
      readonly service: ServiceId;
      /** Hash of method, path and body. */
      readonly requestHash: string;
    }
  | {
      /** Asks, right before the request is sent, whether it still may be. */
      readonly type: 'start';
      readonly callId: string;
      readonly ticket: string;
    }
  | {
      readonly type: 'finish';
      readonly ticket: string;
      readonly end:
        /** The answer is left out if it was too large to gather. */
        | { readonly type: 'answered'; readonly answer: Answer | undefined }
        /** It may have run; nobody can tell. */
        | { readonly type: 'unknown' }
        /** Nothing was sent to the upstream. */
        | { readonly type: 'none' };
    }
  | { readonly type: 'sweep' }
  /** A planned stop begins. */
  | { readonly type: 'leave' }
  | {
      readonly type: 'adopt';
      readonly callId: string;
      readonly upstream: UpstreamId;
      readonly incarnation: Incarnation;
      readonly table: TicketTable;
    };
