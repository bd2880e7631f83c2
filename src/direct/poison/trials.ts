import type { ContentId, Ms } from '../../base/index.js';

/**
 * A suspected request ends its upstream within seconds if it does at all; after this long it may run beside
 * another of its kind, also where the entry that tried it is gone.
 */
const TRIAL_MS = 10_000;

/** Which suspected requests run now, and at which entry: each one once in the fleet. */
export class Trials {
  private readonly running = new Map<ContentId, { readonly entry: string; readonly untilMs: Ms }>();

  /** Whether an entry may run a request now. */
  begin(content: ContentId, entry: string, nowMs: Ms): boolean {
    for (const [each, { untilMs }] of this.running) {
      if (untilMs <= nowMs) this.running.delete(each);
    }
    if (this.running.has(content)) return false;
    this.running.set(content, { entry, untilMs: nowMs + TRIAL_MS });
    return true;
  }

  end(content: ContentId, entry: string): void {
    if (this.running.get(content)?.entry === entry) this.running.delete(content);
  }
}
