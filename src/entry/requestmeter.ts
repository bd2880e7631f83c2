import type { Ms } from '../base/index.js';
import type { Metrics } from '../port/index.js';

/** Measures the duration and the time to first token of one request. */
export class RequestMeter {
  private sentAtMs: Ms;

  private firstTokenAtMs: Ms | undefined;

  private attemptTokenAtMs: Ms | undefined;

  constructor(private readonly startedAtMs: Ms) {
    this.sentAtMs = startedAtMs;
  }

  attemptSent(nowMs: Ms): void {
    this.sentAtMs = nowMs;
    this.attemptTokenAtMs = undefined;
  }

  tokenReceived(nowMs: Ms): void {
    this.firstTokenAtMs ??= nowMs;
    this.attemptTokenAtMs ??= nowMs;
  }

  /** Returns the time from the start of this attempt to its first token; undefined before that. */
  attemptFirstTokenMs(): Ms | undefined {
    return this.attemptTokenAtMs === undefined ? undefined : this.attemptTokenAtMs - this.sentAtMs;
  }

  report(metrics: Metrics, end: string, nowMs: Ms): void {
    metrics.count('request', 1, { end });
    metrics.histogram('request_ms', nowMs - this.startedAtMs);
    if (this.firstTokenAtMs === undefined) return;
    metrics.histogram('first_token_ms', this.firstTokenAtMs - this.startedAtMs);
  }
}
