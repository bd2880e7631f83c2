/** A request's stream at a batching engine. */
export interface Stream {
  /** When its caller sent it; it may have waited elsewhere. */
  readonly arrivedAtMs: number;
  readonly sentAtMs: number;
  /** Who sent it on. */
  readonly entry: number;
  promptLeft: number;
  tokensLeft: number;
  sinceEvent: number;
  lastEventAtMs: number | undefined;
  firstEventAtMs: number | undefined;
  longestGapMs: number;
}

const SLOTS = 64;
const STEP_MS = 6.8;
const STEP_MS_PER_REQUEST = 0.1;
const PROMPT_TOKENS_PER_MS = 22.1;
const PROMPT_TOKENS_PER_STEP = 4096;
const TOKENS_PER_EVENT = 3;

/** One engine: a step reads prompts up to a bound and gives each stream that has been read a token. */
export class BatchEngine {
  readonly slots = SLOTS;

  nowMs = 0;

  readonly running: Stream[] = [];

  readonly queue: Stream[] = [];

  readonly ended: Stream[] = [];

  constructor(private readonly onEvent: (stream: Stream, gapMs: number) => void = () => {}) {}

  get fill(): number {
    return (this.running.length + this.queue.length) / this.slots;
  }

  take(promptTokens: number, outputTokens: number, arrivedAtMs = this.nowMs, entry = 0): void {
    this.queue.push({
      arrivedAtMs,
      sentAtMs: this.nowMs,
      entry,
      promptLeft: promptTokens,
      tokensLeft: outputTokens,
      sinceEvent: 0,
      lastEventAtMs: undefined,
      firstEventAtMs: undefined,
      longestGapMs: 0,
    });
  }

  /** One step of the batch; an idle engine waits. */
  step(): void {
    while (this.running.length < this.slots && this.queue.length > 0) {
      this.running.push(this.queue.shift()!);
    }
    let room = PROMPT_TOKENS_PER_STEP;
    let read = 0;
    const ready = this.running.filter((stream) => stream.promptLeft === 0);
    for (const stream of this.running) {
      const part = Math.min(stream.promptLeft, room);
      stream.promptLeft -= part;
      room -= part;
      read += part;
    }
    this.nowMs += STEP_MS + this.running.length * STEP_MS_PER_REQUEST + read / PROMPT_TOKENS_PER_MS;
    for (const stream of ready) this.token(stream);
    for (const stream of ready.filter(({ tokensLeft }) => tokensLeft === 0)) {
      this.running.splice(this.running.indexOf(stream), 1);
      this.ended.push(stream);
    }
  }

  private token(stream: Stream): void {
    const told = stream;
    told.tokensLeft -= 1;
    told.sinceEvent += 1;
    const isEvent = told.sinceEvent === TOKENS_PER_EVENT || told.firstEventAtMs === undefined;
    if (!isEvent && told.tokensLeft > 0) return;
    told.sinceEvent = 0;
    told.firstEventAtMs ??= this.nowMs;
    const gapMs = this.nowMs - (told.lastEventAtMs ?? this.nowMs);
    told.longestGapMs = Math.max(told.longestGapMs, gapMs);
    told.lastEventAtMs = this.nowMs;
    this.onEvent(told, gapMs);
  }
}
