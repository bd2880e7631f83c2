import type { Client } from 'undici';

/** One connection, and whether it broke: the library takes a reset for the end of some answers. */
export interface Link {
  readonly client: Client;
  isBroken: boolean;
  isClosed: boolean;
}
