import { credentials } from '@grpc/grpc-js';
import { WorkClient, type Frame, type FrameBatch, type RequestHead } from '../wire/index.js';

/** Connections to sidecars, made when first needed. */
export class Link {
  private readonly clients = new Map<string, WorkClient>();

  /** Sends one request and gives the frames of its answer in order. Leaving the loop cancels it. */
  async *ask(
    sidecarAddress: string,
    requestId: string,
    attempt: number,
    head: RequestHead,
  ): AsyncIterable<Frame> {
    const call = this.client(sidecarAddress).exchange();
    const frame = {
      requestId,
      attempt,
      sequence: 0,
      body: { $case: 'head' as const, value: head },
    };
    call.write({ frames: [frame], revision: 0, leaving: false });
    try {
      for await (const batch of call as AsyncIterable<FrameBatch>) yield* batch.frames;
    } finally {
      call.cancel();
    }
  }

  /** The client of a sidecar, for calls other than requests. */
  client(sidecarAddress: string): WorkClient {
    const known = this.clients.get(sidecarAddress);
    if (known) return known;
    const made = new WorkClient(sidecarAddress, credentials.createInsecure());
    this.clients.set(sidecarAddress, made);
    return made;
  }

  close(): void {
    for (const client of this.clients.values()) client.close();
  }
}
