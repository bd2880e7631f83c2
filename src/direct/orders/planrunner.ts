import type { Clock, Ms, ServiceId } from '../../base/index.js';
import { Plan, type Move, type PlanInput } from '../../core/allocation/index.js';
import type { Log, Metrics } from '../../port/index.js';

/** Options of a plan runner. */
interface PlanRunnerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Returns the input of a plan; undefined if none can be made now. */
  readonly input: (service: ServiceId) => PlanInput | undefined;
  /** Starts a move as soon as it is found, `ageMs` after the plan's input was taken. */
  readonly startMove: (service: ServiceId, move: Move, input: PlanInput, ageMs: Ms) => void;
}

/**
 * A plan runs for this long at a time, then yields to all other work for `REST_MS`. Without slices, the first plan on a
 * quarter of a core blocked the event loop for 1.8 s. Delaying the next plan by twenty times the last one's duration
 * instead left 11 s without a plan.
 */
const SLICE_MS = 8;
const REST_MS = 25;
/** Interval between the starts of two plans. */
const PLAN_EVERY_MS = 90;

/** Runs allocation plans in slices, one at a time for each service. */
export class PlanRunner {
  private readonly running = new Set<ServiceId>();

  private readonly nextAtMs = new Map<ServiceId, Ms>();

  constructor(private readonly options: PlanRunnerOptions) {}

  /** Starts a plan if one is due and none is running. */
  plan(service: ServiceId): void {
    const nowMs = this.options.clock.nowMs();
    if (this.running.has(service) || nowMs < (this.nextAtMs.get(service) ?? -Infinity)) return;
    const input = this.options.input(service);
    if (!input) return;
    this.nextAtMs.set(service, nowMs + PLAN_EVERY_MS);
    this.running.add(service);
    this.runSlice(service, new Plan(input), input, { begunAtMs: nowMs, workMs: 0 });
  }

  private runSlice(
    service: ServiceId,
    plan: Plan,
    input: PlanInput,
    { begunAtMs, workMs }: { readonly begunAtMs: Ms; readonly workMs: Ms },
  ): void {
    const { clock, startMove: begin } = this.options;
    const fromMs = clock.nowMs();
    let isDone = false;
    while (!isDone && clock.nowMs() - fromMs < SLICE_MS) {
      const found = plan.moves.length;
      isDone = plan.step();
      for (const move of plan.moves.slice(found)) {
        begin(service, move, input, clock.nowMs() - begunAtMs);
      }
    }
    const spent = { begunAtMs, workMs: workMs + clock.nowMs() - fromMs };
    if (!isDone) {
      clock.after(REST_MS, () => this.runSlice(service, plan, input, spent));
      return;
    }
    this.running.delete(service);
    this.done(service, plan, input, spent);
  }

  private done(
    service: ServiceId,
    { moves }: Plan,
    { upstreams, demand, coldLoadsLeft }: PlanInput,
    { begunAtMs, workMs }: { readonly begunAtMs: Ms; readonly workMs: Ms },
  ): void {
    const { clock, log, metrics } = this.options;
    metrics.histogram('direct.plan_ms', workMs, {});
    if (moves.length === 0) return;
    const busyEngines = upstreams.filter(({ isBusy }) => isBusy).length;
    log.info('plan made', {
      service,
      moves: moves.length,
      engines: upstreams.length,
      busyEngines,
      models: demand.size,
      coldLoadsLeft,
      workMs: Math.round(workMs),
      tookMs: Math.round(clock.nowMs() - begunAtMs),
    });
  }
}
