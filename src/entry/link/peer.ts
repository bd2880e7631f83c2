import type { ClientDuplexStream } from '@grpc/grpc-js';
import { Batcher } from '../../shell/rpc/index.js';
import type { Frame, FrameBatch, RequestHead } from '../../wire/index.js';
import type { Asked } from './asked.js';
import type { LinkOptions } from './linkoptions.js';
import type { Receiver } from './receiver.js';

/** A sidecar that has not opened its side within this is taken for lost. */
const OPEN_WITHIN_MS = 1000;

type Phase = 'opening' | 'open' | 'leaving' | 'closed';

interface Waiting {
  readonly attempt: number;
  readonly receiver: Receiver;
}

/** One sidecar's stream. It lives until the sidecar leaves, is lost, or has long had nothing to do. */
export class Peer {
  private phase: Phase = 'opening';

  private readonly batcher: Batcher;

  /** Heads that wait for the stream to stand; those have certainly not left. */
  private held: Frame[] = [];

  private readonly waiting = new Map<string, Waiting>();

  private usedAtMs: number;

  private readonly forgetOpening: () => void;

  private revision = 0;

  constructor(
    private readonly address: string,
    private readonly stream: ClientDuplexStream<FrameBatch, FrameBatch>,
    private readonly options: LinkOptions,
  ) {
    this.usedAtMs = options.clock.nowMs();
    this.batcher = new Batcher(stream, { revision: () => options.revision(address) });
    this.forgetOpening = options.clock.after(OPEN_WITHIN_MS, () => this.close());
    stream.on('metadata', () => this.open());
    stream.on('data', (batch: FrameBatch) => this.take(batch));
    stream.on('error', (error: Error) => this.lose(error.message));
    stream.on('end', () => this.lose('The sidecar ended the stream.'));
  }

  /** False once requests have to go by another stream. */
  usable(): boolean {
    return this.phase === 'opening' || this.phase === 'open';
  }

  idleSinceMs(): number {
    return this.waiting.size > 0 ? this.options.clock.nowMs() : this.usedAtMs;
  }

  ask(requestId: string, attempt: number, head: RequestHead, receiver: Receiver): Asked {
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
        this.forget(requestId, waiting);
      },
      done: () => this.forget(requestId, waiting),
    };
  }

  /** Ends the stream once nothing is left on it. */
  leave(): void {
    if (this.phase === 'closed') return;
    this.phase = 'leaving';
    if (this.waiting.size > 0) return;
    this.forgetOpening();
    this.phase = 'closed';
    this.batcher.flush();
    this.stream.end();
  }

  close(): void {
    this.lose(
      this.phase === 'opening'
        ? 'The sidecar did not open the stream in time.'
        : 'The entry closed the stream.',
    );
    this.stream.cancel();
  }

  private open(): void {
    if (this.phase !== 'opening') return;
    this.phase = 'open';
    this.forgetOpening();
    for (const frame of this.held) this.batcher.push(frame);
    this.held = [];
  }

  private take({ frames, revision, leaving }: FrameBatch): void {
    if (this.phase === 'opening') this.open();
    if (revision !== this.revision) {
      this.revision = revision;
      this.options.sawRevision(revision, this.address);
    }
    for (const frame of frames) this.waiting.get(frame.requestId)?.receiver.take(frame);
    if (leaving) this.leave();
  }

  private forget(requestId: string, waiting: Waiting): void {
    if (this.waiting.get(requestId) !== waiting) return;
    this.waiting.delete(requestId);
    this.held = this.held.filter((frame) => frame.requestId !== requestId);
    this.usedAtMs = this.options.clock.nowMs();
    if (this.phase === 'leaving') this.leave();
  }

  private lose(detail: string): void {
    if (this.phase === 'closed') return;
    const unsent = this.phase === 'opening';
    this.forgetOpening();
    this.phase = 'closed';
    const lost = [...this.waiting.values()];
    this.waiting.clear();
    for (const { receiver } of lost) receiver.lost(unsent, detail);
  }
}
