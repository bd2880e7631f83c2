import type { Ms } from '../base/index.js';
import type { Metrics } from '../port/index.js';

/** When things happened to one request. */
export class RunMeter {
  private askedMs: Ms;

  private firstTokenMs: Ms | undefined;

  private attemptTokenMs: Ms | undefined;

  constructor(private readonly startedMs: Ms) {
    this.askedMs = startedMs;
  }

  asked(nowMs: Ms): void {
    this.askedMs = nowMs;
    this.attemptTokenMs = undefined;
  }

  token(nowMs: Ms): void {
    this.firstTokenMs ??= nowMs;
    this.attemptTokenMs ??= nowMs;
  }

  /** Time from the start of this attempt to its first token, if that has come. */
  attemptFirstTokenMs(): Ms | undefined {
    return this.attemptTokenMs === undefined ? undefined : this.attemptTokenMs - this.askedMs;
  }

  report(metrics: Metrics, end: string, nowMs: Ms): void {
    metrics.count('request', 1, { end });
    metrics.histogram('request_ms', nowMs - this.startedMs);
    if (this.firstTokenMs === undefined) return;
    metrics.histogram('first_token_ms', this.firstTokenMs - this.startedMs);
  }
}
