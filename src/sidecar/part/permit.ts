import type { TicketEntry } from '../../wire/index.js';

/** What the run-once table says of a request. */
export type Permit =
  | {
      /** Run it now, and record how it ended. `none` takes the record back: nothing was sent. */
      readonly type: 'run';
      readonly record: (
        end:
          | { readonly type: 'answered'; readonly answer: TicketEntry }
          | { readonly type: 'unknown' }
          | { readonly type: 'none' },
      ) => void;
    }
  | { readonly type: 'replay'; readonly answer: TicketEntry };
