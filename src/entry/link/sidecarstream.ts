import type { ClientDuplexStream } from '@grpc/grpc-js';
import { Batcher } from '../../shell/rpc/index.js';
import type { Frame, FrameBatch, RequestHead } from '../../wire/index.js';
import type { SentAttempt } from './sentattempt.js';
import type { LinkOptions } from './linkoptions.js';
import type { FrameReceiver } from './framereceiver.js';

/** A sidecar that has not opened its side of the stream within this time counts as lost. */
const OPEN_TIMEOUT_MS = 1000;

type Phase = 'opening' | 'open' | 'leaving' | 'closed';

interface Pending {
  readonly attempt: number;
  readonly receiver: FrameReceiver;
}

/** The stream to one sidecar. It ends when the sidecar drains or is lost, or after a long time without requests. */
export class SidecarStream {
  private phase: Phase = 'opening';

  private readonly batcher: Batcher;

  /** Heads of requests that wait for the stream to open; these have certainly not been sent. */
  private held: Frame[] = [];

  private readonly waiting = new Map<string, Pending>();

  private lastUsedAtMs: number;

  private readonly cancelOpenTimeout: () => void;

  private revision = 0;

  constructor(
    private readonly address: string,
    private readonly stream: ClientDuplexStream<FrameBatch, FrameBatch>,
    private readonly options: LinkOptions,
  ) {
    this.lastUsedAtMs = options.clock.nowMs();
    this.batcher = new Batcher(stream, { revision: () => options.revision(address) });
    this.cancelOpenTimeout = options.clock.after(OPEN_TIMEOUT_MS, () => this.close());
    stream.on('metadata', () => this.open());
    stream.on('data', (batch: FrameBatch) => this.take(batch));
    stream.on('error', (error: Error) => this.fail(error.message));
    stream.on('end', () => this.fail('The sidecar ended the stream.'));
  }

  /** False once new requests require another stream. */
  isUsable(): boolean {
    return this.phase === 'opening' || this.phase === 'open';
  }

  idleSinceMs(): number {
    return this.waiting.size > 0 ? this.options.clock.nowMs() : this.lastUsedAtMs;
  }

  ask(requestId: string, attempt: number, head: RequestHead, receiver: FrameReceiver): SentAttempt {
    const waiting = { attempt, receiver };
    this.waiting.set(requestId, waiting);
    const frame: Frame = { requestId, attempt, sequence: 0, body: { $case: 'head', value: head } };
    if (this.phase === 'open') this.batcher.push(frame);
    else this.held.push(frame);
    let sequence = 1;
    const send = (body: NonNullable<Frame['body']>) => {
      if (this.phase === 'opening' || this.phase === 'closed') return;
      this.batcher.push({ requestId, attempt, sequence, body }, body.$case !== 'credit');
      sequence += 1;
    };
    return {
      grant: (dataCount) => send({ $case: 'credit', value: { dataCount } }),
      cancel: (reason) => {
        send({ $case: 'cancel', value: { reason } });
        this.remove(requestId, waiting);
      },
      done: () => this.remove(requestId, waiting),
    };
  }

  /** Ends the stream once its pending requests are complete. */
  drain(): void {
    if (this.phase === 'closed') return;
    this.phase = 'leaving';
    if (this.waiting.size > 0) return;
    this.cancelOpenTimeout();
    this.phase = 'closed';
    this.batcher.flush();
    this.stream.end();
  }

  close(): void {
    this.fail(
      this.phase === 'opening'
        ? 'The sidecar did not open the stream in time.'
        : 'The entry closed the stream.',
    );
    this.stream.cancel();
  }

  private open(): void {
    if (this.phase !== 'opening') return;
    this.phase = 'open';
    this.cancelOpenTimeout();
    for (const frame of this.held) this.batcher.push(frame);
    this.held = [];
  }

  private take({ frames, revision, leaving }: FrameBatch): void {
    if (this.phase === 'opening') this.open();
    if (revision !== this.revision) {
      this.revision = revision;
      this.options.observeRevision(revision, this.address);
    }
    for (const frame of frames) this.waiting.get(frame.requestId)?.receiver.take(frame);
    if (leaving) this.drain();
  }

  private remove(requestId: string, waiting: Pending): void {
    if (this.waiting.get(requestId) !== waiting) return;
    this.waiting.delete(requestId);
    this.held = this.held.filter((frame) => frame.requestId !== requestId);
    this.lastUsedAtMs = this.options.clock.nowMs();
    if (this.phase === 'leaving') this.drain();
  }

  private fail(detail: string): void {
    if (this.phase === 'closed') return;
    const unsent = this.phase === 'opening';
    this.cancelOpenTimeout();
    this.phase = 'closed';
    const lost = [...this.waiting.values()];
    this.waiting.clear();
    for (const { receiver } of lost) receiver.lost(unsent, detail);
  }
}
