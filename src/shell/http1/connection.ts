import type { Client } from 'undici';

/** One connection and its state. Records resets, since undici reports some of them as the end of an answer. */
export interface Connection {
  readonly client: Client;
  isBroken: boolean;
  isClosed: boolean;
}
