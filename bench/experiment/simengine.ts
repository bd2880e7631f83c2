import { stepMs, type Curve } from '../../standin/index.js';
import type { Flight } from './flight.js';
import { PrefixMemory } from './prefixmemory.js';

/** What an engine tells of its work. */
export interface EngineTells {
  first(flight: Flight, nowMs: number): void;
  done(flight: Flight, nowMs: number): void;
}

/**
 * The stand-in's continuous batching in virtual time: all running requests get one token a step, and
 * the prompts of those that join lengthen their first step. Steps without a change are run at once.
 */
export class SimEngine {
  private running: Flight[] = [];

  private joining: Flight[] = [];

  private begunAtMs = 0;

  private eachMs = 0;

  private count = 0;

  /** Somebody joined or left between two steps. */
  private changed = false;

  private gapMs = 0;

  private gaps = 0;

  private readonly cache = new PrefixMemory();

  slowdown = 1;

  constructor(
    private readonly curve: Curve,
    private readonly tells: EngineTells,
  ) {}

  /** When the next call of `turn` is due. */
  get dueAtMs(): number {
    if (this.changed) return this.begunAtMs;
    return this.count > 0 ? this.begunAtMs + this.count * this.eachMs : Infinity;
  }

  add(flight: Flight, nowMs: number): void {
    this.joining.push(flight);
    this.cutShort(nowMs);
  }

  remove(flight: Flight, nowMs: number): void {
    this.joining = this.joining.filter((other) => other !== flight);
    if (!this.running.includes(flight)) return;
    this.settle(this.stepsBy(nowMs));
    this.running = this.running.filter((other) => other !== flight);
    this.cutShort(nowMs);
  }

  /** Everything that was running is lost. */
  crash(): readonly Flight[] {
    const lost = [...this.running, ...this.joining];
    this.running = [];
    this.joining = [];
    this.count = 0;
    this.changed = false;
    return lost;
  }

  /** Ends the due steps, tells who got a first or last token, and begins the next. */
  turn(nowMs: number): void {
    this.settle(this.count);
    this.count = 0;
    const first = this.running.filter(({ firstAtMs, made }) => firstAtMs < 0 && made > 0);
    const done = this.running.filter(({ made, ask }) => made >= ask.outputTokens);
    this.running = this.running.filter(({ made, ask }) => made < ask.outputTokens);
    for (const flight of first) this.tells.first(flight, nowMs);
    for (const flight of done) this.tells.done(flight, nowMs);
    this.begin(nowMs);
  }

  /** Mean time between tokens since the last call, and their number. */
  takePace(): { readonly gapMs: number; readonly tokenCount: number } {
    const pace = { gapMs: this.gaps > 0 ? this.gapMs / this.gaps : 0, tokenCount: this.gaps };
    this.gapMs = 0;
    this.gaps = 0;
    return pace;
  }

  private stepsBy(nowMs: number): number {
    if (this.count === 0) return 0;
    return Math.min(this.count, Math.floor((nowMs - this.begunAtMs) / this.eachMs));
  }

  /** Counts steps that are over. */
  private settle(steps: number): void {
    if (steps === 0) return;
    for (const flight of this.running) {
      flight.made += steps;
    }
    this.gapMs += steps * this.eachMs * this.running.length;
    this.gaps += steps * this.running.length;
    this.begunAtMs += steps * this.eachMs;
    this.count -= steps;
  }

  /** The running step is the last one before those who joined or left are looked at. */
  private cutShort(nowMs: number): void {
    this.settle(this.stepsBy(nowMs));
    this.count = Math.min(this.count, 1);
    if (this.count > 0) return;
    this.begunAtMs = nowMs;
    this.changed = true;
  }

  private begin(nowMs: number): void {
    const joined = this.joining;
    this.changed = false;
    this.joining = [];
    this.running.push(...joined);
    if (this.running.length === 0) return;
    let prefillTokens = 0;
    for (const flight of joined) prefillTokens += this.prefill(flight);
    const prefillMs = prefillTokens * this.curve.prefillTokenMs;
    this.begunAtMs = nowMs;
    this.eachMs = (stepMs(this.curve, this.running.length) + prefillMs) * this.slowdown;
    this.count = joined.length > 0 ? 1 : this.leastLeft();
  }

  private leastLeft(): number {
    let least = Infinity;
    for (const { ask, made } of this.running) least = Math.min(least, ask.outputTokens - made);
    return least;
  }

  private prefill({ ask, made }: Flight): number {
    const hit = this.cache.use(ask.prefix, ask.prefixTokens) ? ask.prefixTokens : 0;
    return ask.promptTokens - hit + made;
  }
}
