import type { Ms } from '../../base/index.js';

/** Tokens of one running request in the current window. */
interface Track {
  lastAtMs: Ms;
  gapMs: Ms;
  tokenCount: number;
}

/** The pace of one window. */
interface Pace {
  readonly gapMs: Ms;
  readonly tokenCount: number;
}

/**
 * Measures the time between tokens over all running requests. The median request counts: a caller who
 * reads slowly holds up its own stream only, which says nothing about the engine.
 */
export class PaceMeter {
  private readonly tracks = new Map<string, Track>();

  progress(key: string, tokenCount: number, nowMs: Ms): void {
    const track = this.tracks.get(key);
    if (!track) {
      this.tracks.set(key, { lastAtMs: nowMs, gapMs: 0, tokenCount: 0 });
      return;
    }
    track.gapMs += nowMs - track.lastAtMs;
    track.tokenCount += tokenCount;
    track.lastAtMs = nowMs;
  }

  end(key: string): void {
    this.tracks.delete(key);
  }

  /** The pace since the last call. */
  take(): Pace {
    const gaps: Ms[] = [];
    let tokenCount = 0;
    for (const track of this.tracks.values()) {
      if (track.tokenCount > 0) gaps.push(track.gapMs / track.tokenCount);
      tokenCount += track.tokenCount;
      track.gapMs = 0;
      track.tokenCount = 0;
    }
    gaps.sort((a, b) => a - b);
    return { gapMs: gaps[Math.floor(gaps.length / 2)] ?? 0, tokenCount };
  }
}
