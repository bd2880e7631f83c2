/* eslint no-param-reassign: off -- a simulated world changes its upstream records in place */
import { Scheduler } from './scheduler.js';
import type { WorkloadRequest } from './workloadrequest.js';
import { createUpstreams } from './createupstreams.js';
import type { Fault } from './fault.js';
import type { Flight } from './flight.js';
import { RequestRunner } from './requestrunner.js';
import { Residency } from './residency.js';
import type { ClusterView, PlacementPolicy } from './placementpolicy.js';
import { RefusalLog } from './refusallog.js';
import type { Candidate, RouteOutcome, RoutePolicy } from './routepolicy.js';
import type { ReportedLoad } from './queuepolicy.js';
import type { RunOptions } from './runoptions.js';
import type { SimUpstream } from './simupstream.js';
import { RunStatistics } from './runstatistics.js';

const REORDER_MS = 1000;
const DEFAULT_ATTEMPTS = 2;
const NO_UPSTREAMS = new Set<number>();

interface Entry {
  readonly route: RoutePolicy;
  /** Last reported load of each upstream. */
  readonly heard: Map<number, ReportedLoad>;
}

interface Parked {
  readonly flights: Set<Flight>;
  lastOrderAtMs: number;
}

/** Demand for one model since the last plan. */
interface Demand {
  asked: number;
  refused: number;
  serviceMs: number;
}

/** Simulates entries, upstreams and a planner that serve a workload under the given policies. */
export class World {
  private readonly scheduler = new Scheduler();

  private readonly upstreams: readonly SimUpstream[];

  private readonly entries: readonly Entry[];

  private readonly placement: PlacementPolicy;

  private readonly residency: Residency;

  private readonly runner: RequestRunner;

  private readonly parked = new Map<string, Parked>();

  private readonly refusalOrderAtMs = new Map<string, number>();

  private readonly demand = new Map<string, Demand>();

  private readonly logs: readonly RefusalLog[];

  private readonly statistics: RunStatistics;

  private plannerUp = true;

  constructor(private readonly options: RunOptions) {
    const { deployment, seed } = options;
    this.statistics = new RunStatistics(options.durationMs);
    this.upstreams = createUpstreams(options, (upstream) => ({
      firstToken: (flight) => this.runner.firstToken(upstream(), flight),
      done: (flight) => this.runner.finish(upstream(), flight),
    }));
    this.logs = this.upstreams.map(() => new RefusalLog());
    this.runner = this.createRunner();
    this.residency = this.createResidency();
    const zones = [...new Set(deployment.document.groups.map((group) => group.availabilityZone))];
    this.entries = Array.from({ length: deployment.entries }, (_, entry) => ({
      route: options.route({ entry, availabilityZone: zones[entry % zones.length]!, seed }),
      heard: new Map<number, ReportedLoad>(),
    }));
    this.placement = options.placement(deployment, seed);
  }

  run() {
    const cpuAtStart = process.cpuUsage();
    for (const order of this.placement.start(this.view())) this.residency.install(order);
    this.schedulePlan();
    for (const fault of this.options.faults ?? []) {
      this.scheduler.at(fault.atMs, () => this.fail(fault));
    }
    this.scheduleArrival(0);
    this.scheduler.run();
    const used = process.cpuUsage(cpuAtStart);
    return this.result((used.user + used.system) / 1e6);
  }

  private createRunner(): RequestRunner {
    const { options: run, scheduler, upstreams, logs, statistics } = this;
    return new RequestRunner({
      run,
      scheduler,
      upstreams,
      logs,
      statistics,
      residency: () => this.residency,
      learn: (flight, type, load) => this.learn(flight, type, load),
      again: (flight, reason) => this.again(flight, reason),
      served: ({ model }, tookMs) => {
        if (model) this.demandOf(model).serviceMs += tookMs;
      },
    });
  }

  private createResidency(): Residency {
    const { options: run, scheduler, upstreams, statistics } = this;
    return new Residency({
      run,
      scheduler,
      upstreams,
      dispatch: (upstream, event) => this.runner.dispatch(upstream, event),
      moved: (type, nowMs) => statistics.recordMove(type, nowMs),
      modelReady: (model) => this.unpark(model),
    });
  }

  private result(cpuSeconds: number) {
    const { groups } = this.options.deployment.document;
    const accelerators = groups.reduce(
      (sum, group) => sum + group.accelerators * group.upstreams.length,
      0,
    );
    const summary = this.statistics.summary(accelerators);
    const hindsight = { ...this.evaluateRefusals(true), plain: this.evaluateRefusals(false) };
    return { ...summary, hindsight, events: this.scheduler.events, cpuSeconds };
  }

  /** Counts true and untrue refusals of the engines, or of the plain services. */
  private evaluateRefusals(engines: boolean) {
    let refused = 0;
    let untrue = 0;
    for (const [index, log] of this.logs.entries()) {
      if ((this.upstreams[index]!.engine !== undefined) !== engines) continue;
      const evaluated = log.evaluate();
      refused += evaluated.refused;
      untrue += evaluated.untrue;
    }
    return { refused, untrue, trueShare: refused > 0 ? 1 - untrue / refused : 1 };
  }

  private scheduleArrival(index: number): void {
    const ask = this.options.requests[index];
    if (!ask) return;
    this.scheduler.at(ask.atMs, () => {
      this.scheduleArrival(index + 1);
      this.arrive(ask, index, false);
    });
  }

  private arrive(ask: WorkloadRequest, index: number, isRetry: boolean): void {
    const flight: Flight = {
      ask,
      entry: index % this.entries.length,
      deadlineAtMs: ask.atMs + ask.kind.deadlineMs,
      tried: [],
      upstream: -1,
      phase: 'routing',
      startedAtMs: -1,
      firstAtMs: -1,
      tokens: 0,
      tokensAtStart: 0,
      preemptions: 0,
      retryAfterMs: 0,
      isRetry,
    };
    if (ask.model) this.demandOf(ask.model).asked += 1;
    this.route(flight);
  }

  private demandOf(model: string) {
    const demand = this.demand.get(model) ?? { asked: 0, refused: 0, serviceMs: 0 };
    this.demand.set(model, demand);
    return demand;
  }

  private route(flight: Flight, reason = 'no-upstream'): void {
    const { heard, route } = this.entries[flight.entry]!;
    const candidates = this.candidates(flight, heard);
    const choice = route.choose(flight.ask, candidates, this.scheduler.nowMs);
    if (choice) {
      this.runner.offer(flight, this.upstreams[choice.index]!);
      return;
    }
    if (flight.tried.length > 0 || !flight.ask.model) {
      this.refuse(flight, reason);
      return;
    }
    this.park(flight);
  }

  private candidates(flight: Flight, heard: Map<number, ReportedLoad>): readonly Candidate[] {
    const { model } = flight.ask;
    const candidates: Candidate[] = [];
    const push = (index: number, phase: Candidate['phase']) => {
      if (flight.tried.includes(index)) return;
      const { id, group } = this.upstreams[index]!;
      const { availabilityZone } = group;
      candidates.push({ index, id, availabilityZone, phase, load: heard.get(index) });
    };
    if (model) {
      for (const index of this.residency.ready.get(model) ?? NO_UPSTREAMS) push(index, 'ready');
      for (const index of this.residency.loading.get(model) ?? NO_UPSTREAMS) push(index, 'loading');
      return candidates;
    }
    for (const { index, engine } of this.upstreams) if (!engine) push(index, 'ready');
    return candidates;
  }

  /** Orders one load of a model that is in no upstream's memory and parks its requests until the deadline. */
  private park(flight: Flight): void {
    const { model } = flight.ask;
    const parked = this.parked.get(model) ?? {
      flights: new Set<Flight>(),
      lastOrderAtMs: -Infinity,
    };
    this.parked.set(model, parked);
    if (
      this.scheduler.nowMs - parked.lastOrderAtMs >= REORDER_MS &&
      !this.residency.loading.get(model)?.size
    ) {
      parked.lastOrderAtMs = this.scheduler.nowMs;
      this.residency.order(this.placement.missing(model, this.view(), this.scheduler.nowMs));
    }
    const expected = this.residency.expectedReadyAtMs(model);
    if (expected > flight.deadlineAtMs) {
      this.refuse(flight, 'model-absent');
      return;
    }
    flight.phase = 'parked';
    parked.flights.add(flight);
    this.scheduler.at(flight.deadlineAtMs, () => {
      if (parked.flights.delete(flight)) this.refuse(flight, 'model-absent');
    });
  }

  private unpark(model: string): void {
    const parked = this.parked.get(model);
    if (!parked) return;
    const flights = [...parked.flights];
    parked.flights.clear();
    for (const flight of flights) this.route(flight);
  }

  private refuse(flight: Flight, reason: string): void {
    flight.phase = 'ended';
    if (flight.ask.model) this.recordRefusal(flight.ask.model);
    this.statistics.refused(flight, reason, this.scheduler.nowMs);
    if (this.options.retriesRefused) this.retryLater(flight);
  }

  private retryLater({ ask, entry, retryAfterMs, isRetry }: Flight): void {
    if (isRetry || retryAfterMs === 0) return;
    const again = {
      ...ask,
      requestId: `${ask.requestId} again`,
      atMs: this.scheduler.nowMs + retryAfterMs,
    };
    this.scheduler.at(again.atMs, () => this.arrive(again, entry, true));
  }

  private recordRefusal(model: string): void {
    this.demandOf(model).refused += 1;
    const lastMs = this.refusalOrderAtMs.get(model) ?? -Infinity;
    const busy = (this.residency.loading.get(model)?.size ?? 0) > 0;
    if (!this.placement.refused || busy || this.scheduler.nowMs - lastMs < REORDER_MS) return;
    this.refusalOrderAtMs.set(model, this.scheduler.nowMs);
    this.residency.order(this.placement.refused(model, this.view(), this.scheduler.nowMs));
  }

  private learn(flight: Flight, type: RouteOutcome['type'], load: ReportedLoad | undefined): void {
    const { heard, route } = this.entries[flight.entry]!;
    if (load) heard.set(flight.upstream, load);
    route.learn({ index: flight.upstream, ask: flight.ask, type, load }, this.scheduler.nowMs);
  }

  /** Retries a request that an upstream returned without running it, or refuses it. */
  private again(flight: Flight, reason: string): void {
    flight.tried.push(flight.upstream);
    const attempts = this.options.attempts ?? DEFAULT_ATTEMPTS;
    const late = flight.firstAtMs < 0 && this.scheduler.nowMs >= flight.deadlineAtMs;
    if (late || flight.tried.length >= attempts) this.refuse(flight, reason);
    else this.route(flight, reason);
  }

  private schedulePlan(): void {
    const atMs = this.scheduler.nowMs + this.placement.intervalMs;
    if (atMs > this.options.durationMs) return;
    this.scheduler.at(atMs, () => {
      this.schedulePlan();
      if (!this.plannerUp) return;
      const orders = this.placement.plan(this.view(), this.scheduler.nowMs);
      for (const demand of this.demand.values()) {
        Object.assign(demand, { asked: 0, refused: 0, serviceMs: 0 });
      }
      this.residency.order(orders);
    });
  }

  private view(): ClusterView {
    const engines = this.upstreams.filter(({ engine }) => engine);
    return {
      storeUp: this.residency.storeUp,
      loadsPending: this.residency.pending,
      demand: [...this.demand].map(([model, demand]) => ({
        model,
        askedCount: demand.asked,
        refusedCount: demand.refused,
        serviceTimeMs: demand.serviceMs,
      })),
      upstreams: engines.map((upstream) => ({
        index: upstream.index,
        id: upstream.id,
        availabilityZone: upstream.group.availabilityZone,
        checksFencing: upstream.group.checksFencing,
        alive: upstream.alive,
        leaving: false,
        memoryBytes: upstream.memoryBytes,
        freeBytes: upstream.freeBytes,
        running: upstream.running,
        queued: upstream.queued,
        slots: upstream.queue.load(this.scheduler.nowMs).slots,
        residents: [...upstream.residents.values()].map((resident) => ({ ...resident })),
      })),
    };
  }

  private fail(fault: Fault): void {
    const actions: Readonly<Record<Fault['type'], () => void>> = {
      'planner-lost': () => {
        this.plannerUp = false;
      },
      'planner-back': () => {
        this.plannerUp = true;
      },
      'store-lost': () => {
        this.residency.storeUp = false;
      },
      'store-back': () => {
        this.residency.storeUp = true;
      },
      'zone-lost': () => this.forZone(fault, (upstream) => this.lose(upstream)),
      'zone-back': () =>
        this.forZone(fault, (upstream) => {
          Object.assign(upstream, { alive: true });
        }),
      'engines-slow': () =>
        this.forZone(fault, ({ engine }) => {
          if (engine && 'factor' in fault) engine.slowdown = fault.factor;
        }),
    };
    actions[fault.type]();
  }

  private forZone(fault: Fault, act: (upstream: SimUpstream) => void): void {
    if (!('zone' in fault)) return;
    for (const upstream of this.upstreams) {
      if (!fault.zone || upstream.group.availabilityZone === fault.zone) act(upstream);
    }
  }

  /** Retries a request of a lost upstream elsewhere if it was queued or is repeatable; else counts it as lost. */
  private failOver(flight: Flight): void {
    this.learn(flight, 'broken', undefined);
    if (flight.phase === 'queued' || flight.ask.kind.repeatable) {
      this.again(flight, 'no-upstream');
      return;
    }
    flight.phase = 'ended';
    this.statistics.lost(flight, this.scheduler.nowMs);
  }

  private lose(upstream: SimUpstream): void {
    for (const flight of this.runner.kill(upstream)) this.failOver(flight);
  }
}
