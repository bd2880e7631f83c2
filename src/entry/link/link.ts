import type { RequestHead, WorkClient } from '../../wire/index.js';
import type { SentAttempt } from './sentattempt.js';
import type { FrameReceiver } from './framereceiver.js';

/** Connections to sidecars, each opened on first use. */
export interface Link {
  /** Sends one attempt of a request; the frames of its answer go to the receiver. */
  ask(
    sidecarAddress: string,
    requestId: string,
    attempt: number,
    head: RequestHead,
    receiver: FrameReceiver,
  ): SentAttempt;
  /** Returns the gRPC client of a sidecar, for calls other than requests. */
  client(sidecarAddress: string): WorkClient;
  close(): void;
}
