import type { Ms, TraitId } from '../../base/index.js';

/**
 * A request with a suspected trait crashes its upstream within seconds if at all. After this time another run may
 * start beside the first, so an entry that is gone does not block the trait.
 */
const TRIAL_MS = 10_000;

/** The suspected traits that run now, with the entry that runs each. Each has at most one run in the whole fleet. */
export class Trials {
  private readonly running = new Map<TraitId, { readonly entry: string; readonly untilMs: Ms }>();

  /** Starts a trial of all these traits at an entry. Returns false while another run with one of them is under way. */
  begin(traits: readonly TraitId[], entry: string, nowMs: Ms): boolean {
    for (const [other, { untilMs }] of this.running) {
      if (untilMs <= nowMs) this.running.delete(other);
    }
    if (traits.some((trait) => this.running.has(trait))) return false;
    for (const trait of traits) this.running.set(trait, { entry, untilMs: nowMs + TRIAL_MS });
    return true;
  }

  end(traits: readonly TraitId[], entry: string): void {
    for (const trait of traits) {
      if (this.running.get(trait)?.entry === entry) this.running.delete(trait);
    }
  }
}
