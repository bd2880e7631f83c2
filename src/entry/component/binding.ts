import type { Choice } from './choice.js';

/** Whether a request is bound to the ticket table of one sidecar. */
export type Binding =
  | {
      /** No ticket and no idempotency key: any upstream may run the request. */
      readonly type: 'free';
    }
  | {
      /**
       * Every attempt is sent to the upstream that holds this ticket, and to no other. The head of each attempt carries
       * `ticket` and `choice.incarnation`.
       */
      readonly type: 'bound';
      readonly ticket: string;
      readonly choice: Choice;
    };
