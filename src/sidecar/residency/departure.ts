import type { Clock, Ms } from '../../base/index.js';
import {
  servingDrain,
  stepDrain,
  type DrainEvent,
  type DrainPhase,
  type DrainState,
} from '../../core/drain/index.js';
import type { Log } from '../../port/index.js';

/** How long a leaving upstream waits for the planner to place its models elsewhere. */
const PLACE_TIMEOUT_MS: Ms = 10_000;

/** What leaving needs from the upstream's memory. */
interface DepartureOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Models that have no place elsewhere yet. */
  readonly unplaced: () => number;
  /** Refuses new work from now on. */
  readonly refuse: () => void;
  /** Tells the region of the new phase. */
  readonly publish: () => void;
}

/** Carries the core of leaving: who said so, what is in flight, which models lack a place. */
export class Departure {
  private state: DrainState = servingDrain(PLACE_TIMEOUT_MS);

  private inFlight = 0;

  private hasBegun = false;

  private whenGone: (() => void) | undefined;

  constructor(private readonly options: DepartureOptions) {}

  phase(): DrainPhase {
    return this.state.phase;
  }

  begin(reason: NonNullable<DrainState['reason']>): void {
    if (this.hasBegun) return;
    this.hasBegun = true;
    this.options.refuse();
    this.look();
    this.step({ type: 'leave', reason });
  }

  count(by: 1 | -1): void {
    this.inFlight += by;
    this.step({ type: 'in-flight', count: this.inFlight });
  }

  /** Looks whether models have found other places, or the time is up. */
  look(): void {
    if (!this.hasBegun) return;
    this.step({ type: 'unplaced', count: this.options.unplaced() });
  }

  /** Resolves when the upstream has let go of its models. */
  gone(): Promise<void> {
    if (this.state.phase === 'gone') return Promise.resolve();
    return new Promise((resolve) => {
      this.whenGone = resolve;
    });
  }

  private step(event: DrainEvent): void {
    const change = stepDrain(this.state, event, this.options.clock.nowMs());
    this.state = change.state;
    for (const { phase, unplaced } of change.effects) {
      this.options.log.info('leaving', { phase, reason: this.state.reason, unplaced });
      this.options.publish();
      if (phase === 'gone') this.whenGone?.();
    }
  }
}
