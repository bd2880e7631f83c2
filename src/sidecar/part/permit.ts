import type { Refusal, TicketEntry } from '../../wire/index.js';

/** Decision of the run-once table: run the request, or replay a recorded answer. */
export type Permit =
  | {
      readonly type: 'run';
      /**
       * Called right before the request is sent. Returns a refusal if the request may no longer be sent; the
       * caller then records `none`.
       */
      readonly start: () => Refusal | undefined;
      /** Records the outcome. `none` removes the record, because nothing was sent. */
      readonly record: (
        end:
          | { readonly type: 'answered'; readonly answer: TicketEntry }
          | { readonly type: 'unknown' }
          | { readonly type: 'none' },
      ) => void;
    }
  | { readonly type: 'replay'; readonly answer: TicketEntry };
