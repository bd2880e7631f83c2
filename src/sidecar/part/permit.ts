import type { Refusal, TicketEntry } from '../../wire/index.js';

/** What the run-once table says of a request. */
export type Permit =
  | {
      readonly type: 'run';
      /**
       * Asked right before the request is sent: a refusal if it may not be any more. It is recorded as
       * `none` then.
       */
      readonly start: () => Refusal | undefined;
      /** Records how it ended. `none` takes the record back: nothing was sent. */
      readonly record: (
        end:
          | { readonly type: 'answered'; readonly answer: TicketEntry }
          | { readonly type: 'unknown' }
          | { readonly type: 'none' },
      ) => void;
    }
  | { readonly type: 'replay'; readonly answer: TicketEntry };
