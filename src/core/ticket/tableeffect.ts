import type { Refusal, TicketReply } from '../../wire/index.js';
import type { Answer } from './answer.js';

/** What a run-once table asks of its shell: each effect answers one call. */
export type TableEffect =
  | { readonly type: 'issued'; readonly callId: string; readonly reply: TicketReply }
  /** The call may be passed to admission now; its end has to be given back by `finish`. */
  | { readonly type: 'run'; readonly callId: string; readonly ticket: string }
  /** The request may be sent now. */
  | { readonly type: 'go'; readonly callId: string }
  | { readonly type: 'replay'; readonly callId: string; readonly answer: Answer }
  | { readonly type: 'refuse'; readonly callId: string; readonly refusal: Refusal }
  | { readonly type: 'adopted'; readonly callId: string; readonly takenCount: number };
