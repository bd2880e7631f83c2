import { Metadata, type ServerDuplexStream } from '@grpc/grpc-js';
import { Batcher } from '../shell/rpc/index.js';
import type { Frame, FrameBatch, RequestHead } from '../wire/index.js';
import { CreditedOutlet } from './creditedoutlet.js';
import type { Outlet } from './outlet.js';

/** Options of an exchange. */
interface ExchangeOptions {
  /** Runs one request to its typed end. */
  readonly run: (requestId: string, head: RequestHead, outlet: Outlet) => Promise<void>;
  readonly revision: () => number;
  /** Told when the revision in force at the entry has changed. */
  readonly sawRevision: (revision: number, fromAddress: string) => void;
}

type Body = NonNullable<Frame['body']>;

/** One gRPC stream of an entry: any number of requests, each with its own credit. */
export class Exchange {
  private readonly batcher: Batcher;

  private readonly outlets = new Map<string, CreditedOutlet>();

  private ended = false;

  private revision = 0;

  private readonly handlers: Readonly<
    Partial<Record<Body['$case'], (frame: Frame, body: Body) => void>>
  > = {
    head: (frame, body) => body.$case === 'head' && this.begin(frame, body.value),
    credit: (frame, body) => body.$case === 'credit' && this.grant(frame, body.value.dataCount),
    cancel: (frame) => this.cancel(frame),
  };

  constructor(
    private readonly stream: ServerDuplexStream<FrameBatch, FrameBatch>,
    private readonly options: ExchangeOptions,
  ) {
    this.batcher = new Batcher(stream, options);
    stream.on('data', (batch: FrameBatch) => this.take(batch));
    stream.on('end', () => this.end());
    stream.on('cancelled', () => this.close());
    stream.on('error', () => this.close());
    // Tells the entry that the stream stands: what it has not sent before this has never run.
    stream.sendMetadata(new Metadata());
  }

  /** Tells the entry to send nothing more here and to end the stream when it has no use for it. */
  leave(): void {
    this.batcher.flush(true);
  }

  private take({ frames, revision }: FrameBatch): void {
    if (revision !== this.revision) {
      this.revision = revision;
      this.options.sawRevision(revision, this.stream.getPeer());
    }
    for (const frame of frames) {
      if (frame.body) this.handlers[frame.body.$case]?.(frame, frame.body);
    }
  }

  private begin({ requestId, attempt }: Frame, head: RequestHead): void {
    const earlier = this.outlets.get(requestId);
    // A doubled head must not run twice.
    if (earlier && earlier.attempt >= attempt) return;
    earlier?.close();
    const outlet = new CreditedOutlet(requestId, attempt, this.batcher);
    this.outlets.set(requestId, outlet);
    void this.options.run(requestId, head, outlet).then(() => {
      if (this.outlets.get(requestId) === outlet) this.outlets.delete(requestId);
      this.finish();
    });
  }

  private grant({ requestId, attempt }: Frame, dataCount: number): void {
    const outlet = this.outlets.get(requestId);
    if (outlet?.attempt === attempt) outlet.grant(dataCount);
  }

  private cancel({ requestId, attempt }: Frame): void {
    const outlet = this.outlets.get(requestId);
    if (outlet?.attempt === attempt) outlet.close();
  }

  private close(): void {
    for (const outlet of this.outlets.values()) outlet.close();
  }

  private end(): void {
    this.ended = true;
    this.finish();
  }

  private finish(): void {
    if (!this.ended || this.outlets.size > 0) return;
    this.batcher.flush();
    this.stream.end();
  }
}
