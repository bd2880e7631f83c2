import type { ModelId, Ms } from '../../base/index.js';
import type { Forecaster } from '../forecast/index.js';
import type { Counter } from './counter.js';
import type { DemandState } from './demandstate.js';

const MS_PER_SECOND = 1_000;
const DEFAULT_SERVICE_MS = 1_000;
const SMOOTHING = 0.2;

interface Sum {
  asked: number;
  served: number;
  serviceTimeMs: number;
}

function keyOf({ upstream, incarnation, model }: Counter): string {
  return `${upstream} ${incarnation} ${model}`;
}

/** Returns the increments since the last round. The counters of a new incarnation start at 0. */
function increments(
  { counted }: DemandState,
  counters: readonly Counter[],
): ReadonlyMap<ModelId, Sum> {
  const sums = new Map<ModelId, Sum>();
  for (const counter of counters) {
    const before = counted.get(keyOf(counter));
    const sum = sums.get(counter.model) ?? { asked: 0, served: 0, serviceTimeMs: 0 };
    const asked = Math.max(0, counter.askedCount - (before?.askedCount ?? 0));
    const refused = Math.max(0, counter.refusedCount - (before?.refusedCount ?? 0));
    sum.asked += asked;
    sum.served += Math.max(0, asked - refused);
    sum.serviceTimeMs += Math.max(0, counter.serviceTimeMs - (before?.serviceTimeMs ?? 0));
    sums.set(counter.model, sum);
  }
  return sums;
}

function serviceTime(beforeMs: Ms | undefined, sum: Sum | undefined): Ms {
  const known = beforeMs ?? DEFAULT_SERVICE_MS;
  if (!sum || sum.served === 0 || sum.serviceTimeMs === 0) return known;
  const observedMs = sum.serviceTimeMs / sum.served;
  if (beforeMs === undefined) return observedMs;
  return known + SMOOTHING * (observedMs - known);
}

/** Updates each model's forecast from the counters of one round. */
export function learnDemand(
  forecaster: Forecaster<object>,
  state: DemandState,
  counters: readonly Counter[],
  models: readonly ModelId[],
  elapsedMs: Ms,
): DemandState {
  const counted = new Map(counters.map((counter) => [keyOf(counter), counter]));
  // In the first round it is unknown over what time the counters have accumulated.
  if (!Number.isFinite(elapsedMs)) return { counted, models: state.models };
  const sums = increments(state, counters);
  const next = new Map<ModelId, NonNullable<ReturnType<DemandState['models']['get']>>>();
  for (const model of models) {
    const known = state.models.get(model);
    const sum = sums.get(model);
    const perSecond = ((sum?.asked ?? 0) * MS_PER_SECOND) / Math.max(1, elapsedMs);
    const rate = forecaster.observe(known?.rate ?? forecaster.start, perSecond, elapsedMs);
    next.set(model, { rate, serviceTimeMs: serviceTime(known?.serviceTimeMs, sum) });
  }
  return { counted, models: next };
}
