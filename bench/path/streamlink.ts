import { credentials } from '@grpc/grpc-js';
import type { SentAttempt, Link, FrameReceiver } from '../../src/entry/link/index.js';
import { channelOptions } from '../../src/shell/rpc/index.js';
import { WorkClient, type Frame, type FrameBatch, type RequestHead } from '../../src/wire/index.js';

/** The baseline that `SharedLink` is compared with: one gRPC stream for each request. */
export class StreamLink implements Link {
  private readonly clients = new Map<string, WorkClient>();

  ask(
    sidecarAddress: string,
    requestId: string,
    attempt: number,
    head: RequestHead,
    receiver: FrameReceiver,
  ): SentAttempt {
    const call = this.client(sidecarAddress).exchange();
    let sequence = 0;
    const send = (body: NonNullable<Frame['body']>) => {
      const frames = [{ requestId, attempt, sequence, body }];
      call.write({ frames, revision: 0, leaving: false });
      sequence += 1;
    };
    call.on('data', ({ frames }: FrameBatch) => {
      for (const frame of frames) receiver.take(frame);
    });
    call.on('error', (error: Error) => receiver.lost(false, error.message));
    send({ $case: 'head', value: head });
    return {
      grant: (dataCount) => send({ $case: 'credit', value: { dataCount } }),
      cancel: () => call.cancel(),
      done: () => call.end(),
    };
  }

  client(sidecarAddress: string): WorkClient {
    const known = this.clients.get(sidecarAddress);
    if (known) return known;
    const created = new WorkClient(
      sidecarAddress,
      credentials.createInsecure(),
      channelOptions.client,
    );
    this.clients.set(sidecarAddress, created);
    return created;
  }

  close(): void {
    for (const client of this.clients.values()) client.close();
  }
}
