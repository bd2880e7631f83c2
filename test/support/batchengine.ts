/** The stream of one request at a batching engine. */
export interface Stream {
  /** When its caller sent it; it may have waited at an entry. */
  readonly arrivedAtMs: number;
  readonly sentAtMs: number;
  /** The entry that sent it. */
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

/** Simulated batching engine: a step prefills prompts up to a bound and emits a token for each stream past prefill. */
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

  /** Runs one step of the batch. */
  step(): void {
    while (this.running.length < this.slots && this.queue.length > 0) {
      this.running.push(this.queue.shift()!);
    }
    let promptBudget = PROMPT_TOKENS_PER_STEP;
    let read = 0;
    const ready = this.running.filter((stream) => stream.promptLeft === 0);
    for (const stream of this.running) {
      const part = Math.min(stream.promptLeft, promptBudget);
      stream.promptLeft -= part;
      promptBudget -= part;
      read += part;
    }
    this.nowMs += STEP_MS + this.running.length * STEP_MS_PER_REQUEST + read / PROMPT_TOKENS_PER_MS;
    for (const stream of ready) this.emitToken(stream);
    for (const stream of ready.filter(({ tokensLeft }) => tokensLeft === 0)) {
      this.running.splice(this.running.indexOf(stream), 1);
      this.ended.push(stream);
    }
  }

  private emitToken(stream: Stream): void {
    const current = stream;
    current.tokensLeft -= 1;
    current.sinceEvent += 1;
    const isEvent = current.sinceEvent === TOKENS_PER_EVENT || current.firstEventAtMs === undefined;
    if (!isEvent && current.tokensLeft > 0) return;
    current.sinceEvent = 0;
    current.firstEventAtMs ??= this.nowMs;
    const gapMs = this.nowMs - (current.lastEventAtMs ?? this.nowMs);
    current.longestGapMs = Math.max(current.longestGapMs, gapMs);
    current.lastEventAtMs = this.nowMs;
    this.onEvent(current, gapMs);
  }
}
