import type { EngineFailure } from '../port/index.js';
import { Executed, type Frame, type Refusal, type RequestHead } from '../wire/index.js';
import { refuse } from '../core/refusal/index.js';
import type { Admission, Residency, RunOnce, Slot } from './part/index.js';
import type { UpstreamCall } from './upstreamcall.js';

type Body = NonNullable<Frame['body']>;

interface Parts {
  readonly admission: Admission;
  readonly residency: Residency;
  readonly runOnce: RunOnce;
}

/** Sends one part of an answer; resolves when the next may be sent. */
type Send = (body: Body) => Promise<void>;

const EXECUTED = {
  no: Executed.EXECUTED_NO,
  unknown: Executed.EXECUTED_UNKNOWN,
  yes: Executed.EXECUTED_YES,
} as const;

function refusalOf(failure: EngineFailure): Refusal {
  return refuse(failure.type, failure.detail, { executed: EXECUTED[failure.executed] });
}

/** The only way to the upstream: each request passes admission, then runs, then gives its slot back. */
export class Door {
  private inFlight = 0;

  private whenIdle: (() => void) | undefined;

  private leaving = false;

  constructor(
    private readonly call: UpstreamCall,
    private readonly parts: Parts,
  ) {}

  /** Runs one request and sends its whole answer, or a typed end. */
  async run(requestId: string, head: RequestHead, gone: AbortSignal, send: Send): Promise<void> {
    if (this.leaving) {
      await send({ $case: 'refusal', value: refuse('upstream-leaving', 'This upstream leaves.') });
      return;
    }
    this.inFlight += 1;
    try {
      await this.admit(requestId, head, gone, send);
    } finally {
      this.inFlight -= 1;
      if (this.inFlight === 0) this.whenIdle?.();
    }
  }

  /** Refuses new work from now on; resolves when nothing is in flight. */
  drain(): Promise<void> {
    this.leaving = true;
    if (this.inFlight === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.whenIdle = resolve;
    });
  }

  private async admit(
    requestId: string,
    head: RequestHead,
    gone: AbortSignal,
    send: Send,
  ): Promise<void> {
    const permit = await this.parts.runOnce.begin(requestId, head);
    if (permit.err) {
      await send({ $case: 'refusal', value: permit.val });
      return;
    }
    const slot = await this.parts.admission.offer(requestId, head, gone);
    if (slot.err) {
      await send({ $case: 'refusal', value: slot.val });
      return;
    }
    const unpin = this.parts.residency.pin(head.model, head.adapter);
    if (unpin.err) {
      slot.val.release('cancelled');
      await send({ $case: 'refusal', value: unpin.val });
      return;
    }
    await this.answer(requestId, head, gone, send, slot.val);
    unpin.val();
  }

  private async answer(
    requestId: string,
    head: RequestHead,
    gone: AbortSignal,
    send: Send,
    slot: Slot,
  ): Promise<void> {
    const stream = await this.call(requestId, head, gone);
    if (stream.err) {
      slot.release('broken');
      await send({ $case: 'refusal', value: refusalOf(stream.val) });
      return;
    }
    const { status, headers, pieces } = stream.val;
    await send({ $case: 'start', value: { status, headers } });
    let dataCount = 0;
    let failure = '';
    for await (const piece of pieces) {
      if (piece.err) {
        failure = piece.val.type;
        break;
      }
      dataCount += 1;
      await send({ $case: 'data', value: piece.val });
      slot.progress(piece.val.tokenCount);
    }
    slot.release(failure ? 'broken' : 'answered');
    const load = this.parts.admission.load();
    await send({ $case: 'end', value: { dataCount, failure, load, resumeToken: '' } });
  }
}
