import type { Ms } from '../../base/index.js';
import type { ModelDemand } from '../../wire/index.js';

type MutableDemand = { -readonly [Field in keyof ModelDemand]: ModelDemand[Field] };

/** Counts the requests for each model since the sidecar started. The planner uses the differences. */
export class DemandCounter {
  private readonly models = new Map<string, MutableDemand>();

  /** Total number of requests; a change shows that there is new demand to publish. */
  total = 0;

  countRequest(model: string): void {
    this.total += 1;
    this.of(model).askedCount += 1;
  }

  countRefusal(model: string): void {
    this.of(model).refusedCount += 1;
  }

  addServiceTime(model: string, tookMs: Ms): void {
    this.of(model).serviceTimeMs += Math.round(tookMs);
  }

  list(): ModelDemand[] {
    return [...this.models.values()].map((counted) => ({ ...counted }));
  }

  private of(model: string): MutableDemand {
    const known = this.models.get(model);
    if (known) return known;
    const counted = { model, askedCount: 0, refusedCount: 0, serviceTimeMs: 0 };
    this.models.set(model, counted);
    return counted;
  }
}
