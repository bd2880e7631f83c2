import type { Clock, ModelId, Ms, ServiceId, UpstreamId } from '../../base/index.js';
import { idleReasons, type PlanInput } from '../../core/allocation/index.js';
import type { Log, Metrics } from '../../port/index.js';

/** Options of an idle watch. */
interface IdleWatchOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Returns the input of a plan; undefined if none can be made now. */
  readonly input: (service: ServiceId) => PlanInput | undefined;
  /** Returns the models with requests refused since a time because all their replicas were full. */
  readonly refusedSince: (service: ServiceId, sinceMs: Ms) => readonly ModelId[];
}

const CHECK_EVERY_MS = 1000;
/** Requests were refused within this, which covers several reports of each entry. */
const REFUSED_MS = 1000;

/** Reports engines that had no request for longer than a load takes while requests were refused for full replicas. */
export class IdleWatch {
  /** Engines of each service without requests, and since when. */
  private readonly idleSinceMs = new Map<ServiceId, ReadonlyMap<UpstreamId, Ms>>();

  private readonly checkedAtMs = new Map<ServiceId, Ms>();

  constructor(private readonly options: IdleWatchOptions) {}

  /** Called several times a second while this process may give orders. */
  tick(service: ServiceId): void {
    const { clock, input, metrics, refusedSince } = this.options;
    const nowMs = clock.nowMs();
    if (nowMs - (this.checkedAtMs.get(service) ?? -Infinity) < CHECK_EVERY_MS) return;
    this.checkedAtMs.set(service, nowMs);
    const plan = input(service);
    if (!plan) return;
    const idle = this.idleEngines(service, plan, nowMs);
    const refused = refusedSince(service, nowMs - REFUSED_MS);
    const count = refused.length > 0 ? idle.size : 0;
    metrics.gauge('direct.engines_idle_beside_refusals', count);
    if (count > 0) this.report(service, plan, idle, refused);
  }

  /** Called when this process no longer gives orders: its successor reports from then on. */
  stop(): void {
    if (this.checkedAtMs.size === 0) return;
    this.checkedAtMs.clear();
    this.idleSinceMs.clear();
    this.options.metrics.gauge('direct.engines_idle_beside_refusals', 0);
  }

  /** Returns the engines that have been idle for longer than the slowest load takes. */
  private idleEngines(
    service: ServiceId,
    { engine, upstreams }: PlanInput,
    nowMs: Ms,
  ): ReadonlySet<UpstreamId> {
    const loadMs = Math.max(0, ...[...engine.models.values()].map((model) => model.loadMs));
    const before = this.idleSinceMs.get(service);
    const idle = upstreams.filter(({ load }) => load === 0);
    const sinceMs = new Map(idle.map(({ id }) => [id, before?.get(id) ?? nowMs]));
    this.idleSinceMs.set(service, sinceMs);
    return new Set([...sinceMs].filter(([, fromMs]) => nowMs - fromMs > loadMs).map(([id]) => id));
  }

  private report(
    service: ServiceId,
    plan: PlanInput,
    idle: ReadonlySet<UpstreamId>,
    refused: readonly ModelId[],
  ): void {
    const engines = [...idleReasons(plan, idle, refused)].map(([id, reason]) => `${id}:${reason}`);
    const { coldLoadsLeft } = plan;
    this.options.log.info('engines idle beside refusals', {
      service,
      engines,
      refused,
      coldLoadsLeft,
    });
  }
}
