import type { Refusal, TicketReply } from '../../wire/index.js';
import type { RecordedAnswer } from './recordedanswer.js';

/** Effects of the ticket table on the shell; each answers one call. */
export type TableEffect =
  | { readonly type: 'issued'; readonly callId: string; readonly reply: TicketReply }
  /** The call may go to admission now; the shell must report its end with `finish`. */
  | { readonly type: 'run'; readonly callId: string; readonly ticket: string }
  /** The request may be sent now. */
  | { readonly type: 'go'; readonly callId: string }
  | { readonly type: 'replay'; readonly callId: string; readonly answer: RecordedAnswer }
  | { readonly type: 'refuse'; readonly callId: string; readonly refusal: Refusal }
  | { readonly type: 'adopted'; readonly callId: string; readonly takenCount: number };
