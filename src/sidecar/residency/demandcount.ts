import type { Ms } from '../../base/index.js';
import type { ModelDemand } from '../../wire/index.js';

type Counted = { -readonly [Field in keyof ModelDemand]: ModelDemand[Field] };

/** Counts the requests for each model since the sidecar started; the planner takes differences. */
export class DemandCount {
  private readonly models = new Map<string, Counted>();

  /** Requests counted in all: tells whether anything is new. */
  total = 0;

  asked(model: string): void {
    this.total += 1;
    this.of(model).askedCount += 1;
  }

  refused(model: string): void {
    this.of(model).refusedCount += 1;
  }

  served(model: string, tookMs: Ms): void {
    this.of(model).serviceTimeMs += Math.round(tookMs);
  }

  list(): ModelDemand[] {
    return [...this.models.values()].map((counted) => ({ ...counted }));
  }

  private of(model: string): Counted {
    const known = this.models.get(model);
    if (known) return known;
    const counted = { model, askedCount: 0, refusedCount: 0, serviceTimeMs: 0 };
    this.models.set(model, counted);
    return counted;
  }
}
