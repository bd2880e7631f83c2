import { stepMs, type Curve } from '../../standin/index.js';
import type { Flight } from './flight.js';
import { PrefixCache } from './prefixcache.js';

/** Receives the progress of an engine's requests. */
export interface EngineListener {
  firstToken(flight: Flight, nowMs: number): void;
  done(flight: Flight, nowMs: number): void;
}

/**
 * Simulates the stand-in's continuous batching in virtual time. Each step generates one token for all running
 * requests; prefill of joining requests lengthens their first step. Steps of an unchanged batch are computed at once.
 */
export class SimEngine {
  private running: Flight[] = [];

  private joining: Flight[] = [];

  private stepsFromMs = 0;

  private stepDurationMs = 0;

  private count = 0;

  /** True if requests joined or left since the last step. */
  private isBatchChanged = false;

  private gapMs = 0;

  private gapCount = 0;

  private readonly cache = new PrefixCache();

  slowdown = 1;

  constructor(
    private readonly curve: Curve,
    private readonly listener: EngineListener,
  ) {}

  /** Time at which the next call of `finishSteps` is due. */
  get dueAtMs(): number {
    if (this.isBatchChanged) return this.stepsFromMs;
    return this.count > 0 ? this.stepsFromMs + this.count * this.stepDurationMs : Infinity;
  }

  add(flight: Flight, nowMs: number): void {
    this.joining.push(flight);
    this.endAfterCurrentStep(nowMs);
  }

  remove(flight: Flight, nowMs: number): void {
    this.joining = this.joining.filter((other) => other !== flight);
    if (!this.running.includes(flight)) return;
    this.recordSteps(this.stepsBy(nowMs));
    this.running = this.running.filter((other) => other !== flight);
    this.endAfterCurrentStep(nowMs);
  }

  /** Drops all requests and returns them. */
  crash(): readonly Flight[] {
    const lost = [...this.running, ...this.joining];
    this.running = [];
    this.joining = [];
    this.count = 0;
    this.isBatchChanged = false;
    return lost;
  }

  /** Ends the due steps, reports requests with a first or last token, and starts the next steps. */
  finishSteps(nowMs: number): void {
    this.recordSteps(this.count);
    this.count = 0;
    const first = this.running.filter(({ firstAtMs, tokens }) => firstAtMs < 0 && tokens > 0);
    const done = this.running.filter(({ tokens, ask }) => tokens >= ask.outputTokens);
    this.running = this.running.filter(({ tokens, ask }) => tokens < ask.outputTokens);
    for (const flight of first) this.listener.firstToken(flight, nowMs);
    for (const flight of done) this.listener.done(flight, nowMs);
    this.startSteps(nowMs);
  }

  /** Returns the mean gap between tokens since the last call, and the number of gaps. */
  takePace(): { readonly gapMs: number; readonly tokenCount: number } {
    const pace = {
      gapMs: this.gapCount > 0 ? this.gapMs / this.gapCount : 0,
      tokenCount: this.gapCount,
    };
    this.gapMs = 0;
    this.gapCount = 0;
    return pace;
  }

  private stepsBy(nowMs: number): number {
    if (this.count === 0) return 0;
    return Math.min(this.count, Math.floor((nowMs - this.stepsFromMs) / this.stepDurationMs));
  }

  /** Adds the tokens of completed steps. */
  private recordSteps(steps: number): void {
    if (steps === 0) return;
    for (const flight of this.running) {
      flight.tokens += steps;
    }
    this.gapMs += steps * this.stepDurationMs * this.running.length;
    this.gapCount += steps * this.running.length;
    this.stepsFromMs += steps * this.stepDurationMs;
    this.count -= steps;
  }

  /** Makes the current step the last one before the batch changes. */
  private endAfterCurrentStep(nowMs: number): void {
    this.recordSteps(this.stepsBy(nowMs));
    this.count = Math.min(this.count, 1);
    if (this.count > 0) return;
    this.stepsFromMs = nowMs;
    this.isBatchChanged = true;
  }

  private startSteps(nowMs: number): void {
    const joined = this.joining;
    this.isBatchChanged = false;
    this.joining = [];
    this.running.push(...joined);
    if (this.running.length === 0) return;
    let prefillTokens = 0;
    for (const flight of joined) prefillTokens += this.prefill(flight);
    const prefillMs = prefillTokens * this.curve.prefillTokenMs;
    this.stepsFromMs = nowMs;
    this.stepDurationMs = (stepMs(this.curve, this.running.length) + prefillMs) * this.slowdown;
    this.count = joined.length > 0 ? 1 : this.fewestTokensLeft();
  }

  private fewestTokensLeft(): number {
    let least = Infinity;
    for (const { ask, tokens } of this.running) least = Math.min(least, ask.outputTokens - tokens);
    return least;
  }

  private prefill({ ask, tokens }: Flight): number {
    const hit = this.cache.use(ask.prefix, ask.prefixTokens) ? ask.prefixTokens : 0;
    return ask.promptTokens - hit + tokens;
  }
}
