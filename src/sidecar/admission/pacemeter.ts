import type { Ms } from '../../base/index.js';

/** Tokens of one running request in the current measuring window. */
interface RequestProgress {
  lastAtMs: Ms;
  gapMs: Ms;
  tokenCount: number;
}

/** Token pace of one measuring window. */
interface Pace {
  readonly gapMs: Ms;
  readonly tokenCount: number;
}

/**
 * Measures the time between tokens over all running requests. It uses the median request, because a caller
 * that reads slowly delays only its own stream and says nothing about the engine.
 */
export class PaceMeter {
  private readonly requests = new Map<string, RequestProgress>();

  progress(key: string, tokenCount: number, nowMs: Ms): void {
    const request = this.requests.get(key);
    if (!request) {
      this.requests.set(key, { lastAtMs: nowMs, gapMs: 0, tokenCount: 0 });
      return;
    }
    request.gapMs += nowMs - request.lastAtMs;
    request.tokenCount += tokenCount;
    request.lastAtMs = nowMs;
  }

  end(key: string): void {
    this.requests.delete(key);
  }

  /** Returns the pace since the last call and starts a new window. */
  take(): Pace {
    const gaps: Ms[] = [];
    let tokenCount = 0;
    for (const request of this.requests.values()) {
      if (request.tokenCount > 0) gaps.push(request.gapMs / request.tokenCount);
      tokenCount += request.tokenCount;
      request.gapMs = 0;
      request.tokenCount = 0;
    }
    gaps.sort((a, b) => a - b);
    return { gapMs: gaps[Math.floor(gaps.length / 2)] ?? 0, tokenCount };
  }
}
