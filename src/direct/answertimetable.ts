import type { ModelId, Ms } from '../base/index.js';
import { recordAnswer, type AnswerTimes } from '../core/plannedstop/index.js';
import type { RouteTable } from '../core/routetable/index.js';

/** How long complete answers took at upstreams, by route and model. */
export class AnswerTimeTable {
  private readonly byRoute = new Map<string, Map<ModelId | undefined, AnswerTimes>>();

  /** Forgets routes that the configuration has no longer. */
  setTable({ routesByHost }: RouteTable): void {
    const names = new Set([...routesByHost.values()].flat().map(({ name }) => name));
    for (const name of this.byRoute.keys()) if (!names.has(name)) this.byRoute.delete(name);
  }

  record(route: string, model: ModelId | undefined, tookMs: Ms, nowMs: Ms): void {
    const known = this.byRoute.get(route);
    const byModel = known ?? new Map<ModelId | undefined, AnswerTimes>();
    if (!known) this.byRoute.set(route, byModel);
    byModel.set(model, recordAnswer(byModel.get(model), tookMs, nowMs));
  }

  get(route: string, model: ModelId | undefined): AnswerTimes | undefined {
    return this.byRoute.get(route)?.get(model);
  }
}
