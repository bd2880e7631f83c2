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
import type { Receiver } from './link/index.js';

type Body = NonNullable<Frame['body']>;

/** Told of the answer to one attempt: a start, data and an end, or a refusal; or that it broke. */
interface Told {
  started(start: AnswerStart): void;
  data(payload: Buffer): void;
  ended(end: AnswerEnd): void;
  refused(refusal: Refusal): void;
  /** Frames are missing; nothing more is told of this attempt. */
  gap(refusal: Refusal): void;
  lost(unsent: boolean, detail: string): void;
}

/** What a reader needs of its process. */
interface ReaderContext {
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** Reads the frames of one attempt: what is late, doubled or crossed is dropped and counted. */
export class Reader implements Receiver {
  lastFrameMs: Ms;

  private sequence: ReturnType<typeof startSequence>;

  private readonly bodies: Readonly<Partial<Record<Body['$case'], (body: Body) => void>>> = {
    start: (body) => body.$case === 'start' && this.told.started(body.value),
    data: (body) => body.$case === 'data' && this.told.data(body.value.payload),
    end: (body) => body.$case === 'end' && this.told.ended(body.value),
    refusal: (body) => body.$case === 'refusal' && this.told.refused(body.value),
  };

  constructor(
    requestId: string,
    attempt: number,
    private readonly context: ReaderContext,
    private readonly told: Told,
  ) {
    this.sequence = startSequence(requestId, attempt);
    this.lastFrameMs = context.clock.nowMs();
  }

  take(frame: Frame): void {
    this.lastFrameMs = this.context.clock.nowMs();
    const { state, effects } = stepSequence(this.sequence, frame, this.lastFrameMs);
    this.sequence = state;
    const [effect] = effects;
    if (effect?.type === 'pass' && frame.body) this.bodies[frame.body.$case]?.(frame.body);
    else if (effect) this.irregular(effect);
  }

  lost(unsent: boolean, detail: string): void {
    this.told.lost(unsent, detail);
  }

  private irregular(effect: FrameEffect): void {
    const { metrics } = this.context;
    if (effect.type === 'drop') metrics.count('frames.dropped', 1, { reason: effect.reason });
    if (effect.type !== 'gap') return;
    metrics.count('frames.gap');
    const detail = `Frame ${effect.expected} was due, ${effect.found} came.`;
    const options = { executed: Executed.EXECUTED_UNKNOWN };
    this.told.gap(refuse('frames-missing', detail, options));
  }
}
