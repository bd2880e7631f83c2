import type { ModelId, Ms, Step } from '../../base/index.js';
import type { Forecaster } from '../forecast/index.js';
import { planCell, type Demand, type PlanInput } from '../placement/index.js';
import type { Cell } from './cell.js';
import { learnDemand } from './learndemand.js';
import type { PlannerEffect } from './plannereffect.js';
import type { PlannerEvent } from './plannerevent.js';
import type { PlannerState } from './plannerstate.js';
import { plansOf } from './plansof.js';
import { trackLoads } from './trackloads.js';

/** Unchanged plans are sent again after this time, as a plan or its answer may have been lost. */
const REFRESH_MS = 10_000;
/** Forecast horizon: about the time from ordering a load to its completion. */
const FORECAST_MS = 10_000;
/** Time for which a new planner observes demand before it fills free memory with second replicas. */
const WARM_UP_MS = 30_000;
const MS_PER_SECOND = 1_000;

/** Variable parts of a planner; `stepplanner.ts` sets those of the daemon. */
interface Options {
  readonly forecaster: Forecaster<object>;
  readonly spares: PlanInput['spares'];
}

function forecast(
  forecaster: Forecaster<object>,
  { demand }: PlannerState,
): ReadonlyMap<ModelId, Demand> {
  const forecasts = new Map<ModelId, Demand>();
  for (const [model, { rate, serviceTimeMs }] of demand.models) {
    forecasts.set(model, { perSecond: forecaster.predict(rate, FORECAST_MS), serviceTimeMs });
  }
  return forecasts;
}

/** Returns the number of loads that the weight store's rate and concurrency limits allow now. */
function loadLimit(state: PlannerState, cell: Cell, elapsedMs: Ms): number {
  const startable = Math.max(1, Math.floor((cell.loadsPerSecond * elapsedMs) / MS_PER_SECOND));
  return Math.max(0, Math.min(startable, cell.parallelLoads - state.ordered.length));
}

function inputOf(
  options: Options,
  state: PlannerState,
  cell: Cell,
  elapsedMs: Ms,
  nowMs: Ms,
): PlanInput {
  return {
    models: cell.models,
    upstreams: cell.upstreams,
    demand: forecast(options.forecaster, state),
    ordered: state.ordered,
    intended: (state.plan?.waiting ?? []).filter(({ reason }) => reason === 'only-place'),
    recent: state.recent,
    movePenalty: cell.movePenalty,
    loadLimit: loadLimit(state, cell, elapsedMs),
    spares: nowMs - (state.startedAtMs ?? nowMs) < WARM_UP_MS ? 'none' : options.spares,
  };
}

function unsent(
  { sent }: PlannerState,
  places: readonly Extract<PlannerEffect, { type: 'place' }>[],
  nowMs: Ms,
): readonly Extract<PlannerEffect, { type: 'place' }>[] {
  return places.filter((place) => {
    const before = sent.get(place.upstream);
    if (!before || nowMs - before.atMs >= REFRESH_MS) return true;
    return before.text !== JSON.stringify({ ...place, sequence: 0 });
  });
}

/** Builds the step function of a planner: each round updates demand, tracks loads, plans, and sends changed plans. */
export function plannerWith(options: Options): Step<PlannerState, PlannerEvent, PlannerEffect> {
  return (before, { cell }, nowMs) => {
    const elapsedMs = nowMs - before.roundAtMs;
    const models = cell.models.map(({ id }) => id);
    const { forecaster } = options;
    const demand = learnDemand(forecaster, before.demand, cell.counters, models, elapsedMs);
    const startedAtMs = before.startedAtMs ?? nowMs;
    const tracked = trackLoads(before, cell.upstreams, nowMs);
    const observed = { ...before, startedAtMs, demand, ...tracked };
    const plan = planCell(inputOf(options, observed, cell, Math.min(elapsedMs, REFRESH_MS), nowMs));
    const sequence = before.sequence + 1;
    const due = unsent(observed, plansOf(plan, cell, sequence), nowMs);
    const sent = new Map(observed.sent);
    for (const place of due) {
      sent.set(place.upstream, { text: JSON.stringify({ ...place, sequence: 0 }), atMs: nowMs });
    }
    const orders = plan.loads.map(({ upstream, model }) => ({ upstream, model, atMs: nowMs }));
    const ordered = [...observed.ordered, ...orders];
    const moved = plan.loads.map((place) => ({ type: 'moved' as const, place }));
    return {
      state: { ...observed, ordered, sent, sequence, roundAtMs: nowMs, plan },
      effects: [...moved, ...due],
    };
  };
}
