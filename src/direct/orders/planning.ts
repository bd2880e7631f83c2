import type { Clock, Ms, ServiceId } from '../../base/index.js';
import { Plan, type Move, type PlanInput } from '../../core/allocation/index.js';
import type { Log, Metrics } from '../../port/index.js';

/** Options of a planning. */
interface PlanningOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** What a plan is made from now; undefined if none can be made. */
  readonly input: (service: ServiceId) => PlanInput | undefined;
  /** Begins a move as soon as it is found. */
  readonly begin: (service: ServiceId, move: Move, input: PlanInput) => void;
}

/**
 * A plan goes on for this long at a time, then everything else has its turn for `REST_MS`. In one piece the first plan
 * of a host of a quarter of a core took 1.8 s, in which nothing was read; put off by twenty times what the last one had
 * taken, none was made for 11 s of a calm day.
 */
const SLICE_MS = 8;
const REST_MS = 25;
/** From one plan's begin to the next one's. */
const PLAN_EVERY_MS = 90;

/** Makes plans in slices, one at a time for each service. */
export class Planning {
  private readonly underWay = new Set<ServiceId>();

  private readonly nextAtMs = new Map<ServiceId, Ms>();

  constructor(private readonly options: PlanningOptions) {}

  /** Begins a plan if one is due and none is under way. */
  plan(service: ServiceId): void {
    const nowMs = this.options.clock.nowMs();
    if (this.underWay.has(service) || nowMs < (this.nextAtMs.get(service) ?? -Infinity)) return;
    const input = this.options.input(service);
    if (!input) return;
    this.nextAtMs.set(service, nowMs + PLAN_EVERY_MS);
    this.underWay.add(service);
    this.goOn(service, new Plan(input), input, { begunAtMs: nowMs, workMs: 0 });
  }

  private goOn(
    service: ServiceId,
    plan: Plan,
    input: PlanInput,
    { begunAtMs, workMs }: { readonly begunAtMs: Ms; readonly workMs: Ms },
  ): void {
    const { clock, begin } = this.options;
    const fromMs = clock.nowMs();
    let isDone = false;
    while (!isDone && clock.nowMs() - fromMs < SLICE_MS) {
      const found = plan.moves.length;
      isDone = plan.step();
      for (const move of plan.moves.slice(found)) begin(service, move, input);
    }
    const spent = { begunAtMs, workMs: workMs + clock.nowMs() - fromMs };
    if (!isDone) {
      clock.after(REST_MS, () => this.goOn(service, plan, input, spent));
      return;
    }
    this.underWay.delete(service);
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
