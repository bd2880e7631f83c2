import type { Clock, Ms } from '../base/index.js';
import { startSequence, stepSequence, type FrameEffect } from '../core/frame/index.js';
import { refuse } from '../core/refusal/index.js';
import type { Metrics } from '../port/index.js';
import {
  Executed,
  type AnswerEnd,
  type AnswerStart,
  type Frame,
  type Refusal,
} from '../wire/index.js';
import type { FrameReceiver } from './link/index.js';

type Body = NonNullable<Frame['body']>;

/** Receives the answer to one attempt: start, data and end, or a refusal, or the loss of the answer. */
interface AnswerListener {
  started(start: AnswerStart): void;
  data(payload: Buffer): void;
  ended(end: AnswerEnd): void;
  refused(refusal: Refusal): void;
  /** Frames are missing; nothing more is reported of this attempt. */
  gap(refusal: Refusal): void;
  lost(unsent: boolean, detail: string): void;
}

/** What a reader requires of its process. */
interface ReaderContext {
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** Reads the frames of one attempt. Frames that are late, duplicated or of another attempt are dropped and counted. */
export class FrameReader implements FrameReceiver {
  lastFrameAtMs: Ms;

  private sequence: ReturnType<typeof startSequence>;

  private readonly bodies: Readonly<Partial<Record<Body['$case'], (body: Body) => void>>> = {
    start: (body) => body.$case === 'start' && this.listener.started(body.value),
    data: (body) => body.$case === 'data' && this.listener.data(body.value.payload),
    end: (body) => body.$case === 'end' && this.listener.ended(body.value),
    refusal: (body) => body.$case === 'refusal' && this.listener.refused(body.value),
  };

  constructor(
    requestId: string,
    attempt: number,
    private readonly context: ReaderContext,
    private readonly listener: AnswerListener,
  ) {
    this.sequence = startSequence(requestId, attempt);
    this.lastFrameAtMs = context.clock.nowMs();
  }

  take(frame: Frame): void {
    this.lastFrameAtMs = this.context.clock.nowMs();
    const { state, effects } = stepSequence(this.sequence, frame, this.lastFrameAtMs);
    this.sequence = state;
    const [effect] = effects;
    if (effect?.type === 'pass' && frame.body) this.bodies[frame.body.$case]?.(frame.body);
    else if (effect) this.onIrregular(effect);
  }

  lost(unsent: boolean, detail: string): void {
    this.listener.lost(unsent, detail);
  }

  private onIrregular(effect: FrameEffect): void {
    const { metrics } = this.context;
    if (effect.type === 'drop') metrics.count('frames.dropped', 1, { reason: effect.reason });
    if (effect.type !== 'gap') return;
    metrics.count('frames.gap');
    const detail = `Expected frame ${effect.expected}, got frame ${effect.found}.`;
    const options = { executed: Executed.EXECUTED_UNKNOWN };
    this.listener.gap(refuse('frames-missing', detail, options));
  }
}
