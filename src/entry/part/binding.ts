import type { Choice } from './choice.js';

/** Whether a request is tied to one sidecar's run-once table. */
export type Binding =
  | {
      /** No ticket and no key: any upstream may take it. */
      readonly type: 'free';
    }
  | {
      /**
       * Every attempt goes to this upstream under this ticket, and nowhere else. The head of each
       * attempt carries `ticket` and `choice.incarnation`.
       */
      readonly type: 'bound';
      readonly ticket: string;
      readonly choice: Choice;
    };
