import type { Client } from 'undici';
import type { AnswerSocket } from './answersocket.js';

/** One connection and its state. Records resets, since undici reports some of them as the end of an answer. */
export interface Connection {
  readonly client: Client;
  /** Undefined until the first request is sent. */
  socket: AnswerSocket | undefined;
  isBroken: boolean;
  /** True once the peer has ended its side and all that it sent was read. */
  hasEnded: boolean;
  isClosed: boolean;
}
