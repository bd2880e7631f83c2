import type { CustomerId, Incarnation, Ms, ServiceId, UpstreamId } from '../../base/index.js';
import type { TicketTable } from '../../wire/index.js';
import type { RecordedAnswer } from './recordedanswer.js';

/** Inputs of the ticket table. `callId` identifies the call that waits for the reply. */
export type TableEvent =
  | {
      readonly type: 'issue';
      readonly callId: string;
      readonly customer: CustomerId;
      readonly service: ServiceId;
      /** 0 means the maximum that the table allows. */
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
      /** Checks, right before the request is sent, that it still may be sent. */
      readonly type: 'start';
      readonly callId: string;
      readonly ticket: string;
    }
  | {
      readonly type: 'finish';
      readonly ticket: string;
      readonly end:
        /** The answer is undefined if it was too large to collect. */
        | { readonly type: 'answered'; readonly answer: RecordedAnswer | undefined }
        /** The request may or may not have run. */
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
