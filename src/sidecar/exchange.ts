import { Metadata, type ServerDuplexStream } from '@grpc/grpc-js';
import { Batcher } from '../shell/rpc/index.js';
import type { Frame, FrameBatch, RequestHead } from '../wire/index.js';
import { CreditedAnswerSink } from './creditedanswersink.js';
import type { AnswerSink } from './answersink.js';

/** Options of `Exchange`. */
interface ExchangeOptions {
  /** Runs one request and sends its answer or refusal to the sink. */
  readonly run: (requestId: string, head: RequestHead, sink: AnswerSink) => Promise<void>;
  readonly revision: () => number;
  /** Called when the revision in force at the entry has changed. */
  readonly observeRevision: (revision: number, fromAddress: string) => void;
}

type Body = NonNullable<Frame['body']>;

/** One gRPC stream from an entry. It carries any number of requests, each with its own flow-control credit. */
export class Exchange {
  private readonly batcher: Batcher;

  private readonly sinks = new Map<string, CreditedAnswerSink>();

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
    // Signals to the entry that the stream is open. The entry sends no request before this, so none can have run
    // earlier.
    stream.sendMetadata(new Metadata());
  }

  /** Asks the entry to send no further requests here, and to end the stream when its requests are done. */
  leave(): void {
    this.batcher.flush(true);
  }

  private take({ frames, revision }: FrameBatch): void {
    if (revision !== this.revision) {
      this.revision = revision;
      this.options.observeRevision(revision, this.stream.getPeer());
    }
    for (const frame of frames) {
      if (frame.body) this.handlers[frame.body.$case]?.(frame, frame.body);
    }
  }

  private begin({ requestId, attempt }: Frame, head: RequestHead): void {
    const previous = this.sinks.get(requestId);
    // A duplicated head must not run twice.
    if (previous && previous.attempt >= attempt) return;
    previous?.close();
    const sink = new CreditedAnswerSink(requestId, attempt, this.batcher);
    this.sinks.set(requestId, sink);
    void this.options.run(requestId, head, sink).then(() => {
      if (this.sinks.get(requestId) === sink) this.sinks.delete(requestId);
      this.finish();
    });
  }

  private grant({ requestId, attempt }: Frame, dataCount: number): void {
    const sink = this.sinks.get(requestId);
    if (sink?.attempt === attempt) sink.grant(dataCount);
  }

  private cancel({ requestId, attempt }: Frame): void {
    const sink = this.sinks.get(requestId);
    if (sink?.attempt === attempt) sink.close();
  }

  private close(): void {
    for (const sink of this.sinks.values()) sink.close();
  }

  private end(): void {
    this.ended = true;
    this.finish();
  }

  private finish(): void {
    if (!this.ended || this.sinks.size > 0) return;
    this.batcher.flush();
    this.stream.end();
  }
}
