import type { RequestHead, WorkClient } from '../../wire/index.js';
import type { Asked } from './asked.js';
import type { Receiver } from './receiver.js';

/** The ways to sidecars, made when first needed. */
export interface Link {
  ask(
    sidecarAddress: string,
    requestId: string,
    attempt: number,
    head: RequestHead,
    receiver: Receiver,
  ): Asked;
  /** The client of a sidecar, for calls other than requests. */
  client(sidecarAddress: string): WorkClient;
  close(): void;
}
