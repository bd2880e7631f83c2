import type { Clock, Ms } from '../../base/index.js';
import {
  servingDrain,
  stepDrain,
  type DrainEvent,
  type DrainPhase,
  type DrainState,
} from '../../core/drain/index.js';
import type { Log } from '../../port/index.js';

/** Time that a leaving upstream waits for the planner to place its models elsewhere. */
const PLACE_TIMEOUT_MS: Ms = 10_000;

/** Dependencies of an engine's drain. */
interface EngineDrainOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Returns the number of models that are not yet placed elsewhere. */
  readonly unplaced: () => number;
  /** Makes the residency refuse new requests. */
  readonly refuse: () => void;
  /** Publishes the new phase to the region. */
  readonly publish: () => void;
}

/** Shell of the drain core: reports to it why the drain began, what is in flight, and how many models are unplaced. */
export class EngineDrain {
  private state: DrainState = servingDrain(PLACE_TIMEOUT_MS);

  private inFlight = 0;

  private hasBegun = false;

  private resolveGone: (() => void) | undefined;

  constructor(private readonly options: EngineDrainOptions) {}

  phase(): DrainPhase {
    return this.state.phase;
  }

  begin(reason: NonNullable<DrainState['reason']>): void {
    if (this.hasBegun) return;
    this.hasBegun = true;
    this.options.refuse();
    this.checkPlacement();
    this.step({ type: 'leave', reason });
  }

  count(by: 1 | -1): void {
    this.inFlight += by;
    this.step({ type: 'in-flight', count: this.inFlight });
  }

  /** Checks whether the models are placed elsewhere or the timeout has expired. */
  checkPlacement(): void {
    if (!this.hasBegun) return;
    this.step({ type: 'unplaced', count: this.options.unplaced() });
  }

  /** Resolves when the drain has reached phase `gone`. */
  gone(): Promise<void> {
    if (this.state.phase === 'gone') return Promise.resolve();
    return new Promise((resolve) => {
      this.resolveGone = resolve;
    });
  }

  private step(event: DrainEvent): void {
    const change = stepDrain(this.state, event, this.options.clock.nowMs());
    this.state = change.state;
    for (const { phase, unplaced } of change.effects) {
      this.options.log.info('leaving', { phase, reason: this.state.reason, unplaced });
      this.options.publish();
      if (phase === 'gone') this.resolveGone?.();
    }
  }
}
