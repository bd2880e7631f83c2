import type { ContentId, Ms } from '../../base/index.js';

/**
 * A suspected request crashes its upstream within seconds if at all. After this time another run of it may start
 * beside the first, so an entry that is gone does not block the request.
 */
const TRIAL_MS = 10_000;

/** The suspected requests that run now, with the entry that runs each. Each has at most one run in the whole fleet. */
export class Trials {
  private readonly running = new Map<ContentId, { readonly entry: string; readonly untilMs: Ms }>();

  /** Starts a trial at an entry. Returns false while another run of the request is under way. */
  begin(content: ContentId, entry: string, nowMs: Ms): boolean {
    for (const [other, { untilMs }] of this.running) {
      if (untilMs <= nowMs) this.running.delete(other);
    }
    if (this.running.has(content)) return false;
    this.running.set(content, { entry, untilMs: nowMs + TRIAL_MS });
    return true;
  }

  end(content: ContentId, entry: string): void {
    if (this.running.get(content)?.entry === entry) this.running.delete(content);
  }
}
