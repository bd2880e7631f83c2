/* eslint no-param-reassign: off -- a simulated world changes its own records in place */
import { Heap, type AdmissionEffect, type AdmissionEvent } from '../../src/core/admission/index.js';
import { stepMs } from '../../standin/index.js';
import type { Ask } from './ask.js';
import type { Fault } from './fault.js';
import type { Flight } from './flight.js';
import type { ClusterView, PlacementOrder, PlacementPolicy } from './placementpolicy.js';
import { RefusalLog } from './refusallog.js';
import type { Candidate, RouteOutcome, RoutePolicy } from './routepolicy.js';
import type { SeenLoad } from './queuepolicy.js';
import type { RunOptions } from './runoptions.js';
import { SimEngine } from './simengine.js';
import type { SimResident, SimUpstream } from './simupstream.js';
import { Tally } from './tally.js';
import { WeightQueue, type PendingLoad } from './weightqueue.js';

const PACE_GOAL_MS = 53;
const PACE_EVERY_MS = 500;
const MISSING_AGAIN_MS = 1000;
const DEFAULT_ATTEMPTS = 2;
const DEFAULT_LAG_MS = 200;
const NO_RESIDENT = new Set<number>();

interface Entry {
  readonly route: RoutePolicy;
  /** Last load heard from each upstream. */
  readonly heard: Map<number, SeenLoad>;
}

interface Parked {
  readonly flights: Set<Flight>;
  askedAtMs: number;
}

function queuedFirst(a: Flight, b: Flight): number {
  return Number(a.phase === 'running') - Number(b.phase === 'running');
}

/** Runs policies over a workload in virtual time. */
export class World {
  private nowMs = 0;

  private readonly due = new Heap<() => void>();

  private readonly upstreams: readonly SimUpstream[];

  private readonly entries: readonly Entry[];

  private readonly placement: PlacementPolicy;

  private readonly weights: WeightQueue;

  private readonly sizes: ReadonlyMap<string, number>;

  /** What entries believe: which upstreams hold a model. */
  private readonly ready = new Map<string, Set<number>>();

  private readonly loading = new Map<string, Set<number>>();

  private readonly parked = new Map<string, Parked>();

  private readonly refusedAt = new Map<string, number>();

  private readonly demand = new Map<
    string,
    { asked: number; refused: number; serviceMs: number }
  >();

  private readonly logs: readonly RefusalLog[];

  private readonly tally: Tally;

  private plannerUp = true;

  private storeUp = true;

  private events = 0;

  constructor(private readonly options: RunOptions) {
    const { deployment, seed } = options;
    const { document } = deployment;
    this.tally = new Tally(options.durationMs);
    this.weights = new WeightQueue(
      document.weightStore.loadsPerSecond,
      document.weightStore.parallelLoads,
    );
    this.sizes = new Map(document.models.map(({ id, sizeBytes }) => [id, sizeBytes]));
    this.upstreams = this.createUpstreams();
    this.logs = this.upstreams.map(() => new RefusalLog());
    const zones = [...new Set(document.groups.map((group) => group.availabilityZone))];
    this.entries = Array.from({ length: deployment.entries }, (_, entry) => ({
      route: options.route({ entry, availabilityZone: zones[entry % zones.length]!, seed }),
      heard: new Map<number, SeenLoad>(),
    }));
    this.placement = options.placement(deployment, seed);
  }

  run() {
    const begun = process.cpuUsage();
    for (const order of this.placement.start(this.view())) this.install(order);
    this.schedulePlan();
    for (const fault of this.options.faults ?? []) this.at(fault.atMs, () => this.fail(fault));
    this.scheduleAsk(0);
    while (this.due.size > 0) {
      this.nowMs = this.due.peekKey();
      this.events += 1;
      this.due.pop()!();
    }
    const used = process.cpuUsage(begun);
    return this.result((used.user + used.system) / 1e6);
  }

  private result(cpuSeconds: number) {
    const { groups } = this.options.deployment.document;
    const accelerators = groups.reduce(
      (sum, group) => sum + group.accelerators * group.upstreams.length,
      0,
    );
    const summary = this.tally.summary(accelerators);
    const hindsight = { ...this.judge(true), plain: this.judge(false) };
    return { ...summary, hindsight, events: this.events, cpuSeconds };
  }

  /** Whether the refusals of engines, or of plain services, were true. */
  private judge(engines: boolean) {
    let refused = 0;
    let untrue = 0;
    for (const [index, log] of this.logs.entries()) {
      if ((this.upstreams[index]!.engine !== undefined) !== engines) continue;
      const judged = log.judge();
      refused += judged.refused;
      untrue += judged.untrue;
    }
    return { refused, untrue, trueShare: refused > 0 ? 1 - untrue / refused : 1 };
  }

  private at(atMs: number, act: () => void): void {
    this.due.push(Math.max(atMs, this.nowMs), act);
  }

  // --- Requests, at the entries ---

  private scheduleAsk(index: number): void {
    const ask = this.options.asks[index];
    if (!ask) return;
    this.at(ask.atMs, () => {
      this.scheduleAsk(index + 1);
      this.arrive(ask, index, false);
    });
  }

  private arrive(ask: Ask, index: number, cameBack: boolean): void {
    const flight: Flight = {
      ask,
      entry: index % this.entries.length,
      deadlineAtMs: ask.atMs + ask.kind.deadlineMs,
      tried: [],
      upstream: -1,
      phase: 'routing',
      startedAtMs: -1,
      firstAtMs: -1,
      made: 0,
      madeAtStart: 0,
      preemptions: 0,
      retryAfterMs: 0,
      cameBack,
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
    const choice = route.choose(flight.ask, candidates, this.nowMs);
    if (choice) {
      this.offer(flight, this.upstreams[choice.index]!);
      return;
    }
    if (flight.tried.length > 0 || !flight.ask.model) {
      this.refuse(flight, reason);
      return;
    }
    this.park(flight);
  }

  private candidates(flight: Flight, heard: Map<number, SeenLoad>): readonly Candidate[] {
    const { model } = flight.ask;
    const candidates: Candidate[] = [];
    const push = (index: number, phase: Candidate['phase']) => {
      if (flight.tried.includes(index)) return;
      const { id, group } = this.upstreams[index]!;
      const { availabilityZone } = group;
      candidates.push({ index, id, availabilityZone, phase, load: heard.get(index) });
    };
    if (model) {
      for (const index of this.ready.get(model) ?? NO_RESIDENT) push(index, 'ready');
      for (const index of this.loading.get(model) ?? NO_RESIDENT) push(index, 'loading');
      return candidates;
    }
    for (const { index, engine } of this.upstreams) if (!engine) push(index, 'ready');
    return candidates;
  }

  /** The model is nowhere: one load for all who ask, and they wait while their deadlines allow. */
  private park(flight: Flight): void {
    const { model } = flight.ask;
    const parked = this.parked.get(model) ?? { flights: new Set<Flight>(), askedAtMs: -Infinity };
    this.parked.set(model, parked);
    if (this.nowMs - parked.askedAtMs >= MISSING_AGAIN_MS && !this.loading.get(model)?.size) {
      parked.askedAtMs = this.nowMs;
      this.order(this.placement.missing(model, this.view(), this.nowMs));
    }
    const expected = this.expectedReadyAt(model);
    if (expected > flight.deadlineAtMs) {
      this.refuse(flight, 'model-absent');
      return;
    }
    flight.phase = 'parked';
    parked.flights.add(flight);
    this.at(flight.deadlineAtMs, () => {
      if (parked.flights.delete(flight)) this.refuse(flight, 'model-absent');
    });
  }

  private expectedReadyAt(model: string): number {
    let least = Infinity;
    for (const upstream of this.upstreams) {
      const resident = upstream.residents.get(model);
      if (upstream.alive && resident && resident.phase !== 'unloading') {
        least = Math.min(least, resident.expectedAtMs);
      }
    }
    return least;
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
    if (flight.ask.model) this.noteRefusal(flight.ask.model);
    this.tally.refused(flight, reason, this.nowMs);
    if (this.options.comeBack) this.comeBack(flight);
  }

  private comeBack({ ask, entry, retryAfterMs, cameBack }: Flight): void {
    if (cameBack || retryAfterMs === 0) return;
    const again = { ...ask, requestId: `${ask.requestId} again`, atMs: this.nowMs + retryAfterMs };
    this.at(again.atMs, () => this.arrive(again, entry, true));
  }

  private noteRefusal(model: string): void {
    this.demandOf(model).refused += 1;
    const askedAtMs = this.refusedAt.get(model) ?? -Infinity;
    const busy = (this.loading.get(model)?.size ?? 0) > 0;
    if (!this.placement.refused || busy || this.nowMs - askedAtMs < MISSING_AGAIN_MS) return;
    this.refusedAt.set(model, this.nowMs);
    this.order(this.placement.refused(model, this.view(), this.nowMs));
  }

  private learn(flight: Flight, type: RouteOutcome['type'], load: SeenLoad | undefined): void {
    const { heard, route } = this.entries[flight.entry]!;
    if (load) heard.set(flight.upstream, load);
    route.learn({ index: flight.upstream, ask: flight.ask, type, load }, this.nowMs);
  }

  /** An upstream gave the request back unrun. */
  private again(flight: Flight, reason: string): void {
    flight.tried.push(flight.upstream);
    const attempts = this.options.attempts ?? DEFAULT_ATTEMPTS;
    const late = flight.firstAtMs < 0 && this.nowMs >= flight.deadlineAtMs;
    if (late || flight.tried.length >= attempts) this.refuse(flight, reason);
    else this.route(flight, reason);
  }

  // --- Requests, at an upstream ---

  private offer(flight: Flight, upstream: SimUpstream): void {
    flight.upstream = upstream.index;
    if (!upstream.alive) {
      this.learn(flight, 'unreachable', undefined);
      this.again(flight, 'no-upstream');
      return;
    }
    const { ask } = flight;
    const resident = upstream.residents.get(ask.model);
    if (ask.model && (!resident || resident.phase === 'unloading')) {
      this.learn(flight, 'refused', upstream.queue.load(this.nowMs));
      this.again(flight, 'model-absent');
      return;
    }
    flight.phase = 'queued';
    upstream.flights.set(ask.requestId, flight);
    upstream.queued += 1;
    this.tell(upstream, {
      type: 'offered',
      offer: {
        requestId: ask.requestId,
        customer: ask.customer,
        kind: ask.kind.name,
        model: ask.model,
        promptTokens: ask.promptTokens,
        maxTokens: 0,
        remainingMs: flight.deadlineAtMs - this.nowMs,
        resumed: flight.firstAtMs >= 0,
      },
    });
  }

  private tell(upstream: SimUpstream, event: AdmissionEvent): void {
    for (const effect of upstream.queue.step(event, this.nowMs)) this.act(upstream, effect);
    this.watchEngine(upstream);
  }

  private act(upstream: SimUpstream, effect: AdmissionEffect): void {
    if (effect.type === 'wake') {
      this.wake(upstream, effect.atMs);
      return;
    }
    const flight = upstream.flights.get(effect.requestId);
    if (!flight) return;
    if (effect.type === 'start') this.start(upstream, flight);
    else if (effect.type === 'refuse') {
      flight.retryAfterMs = effect.retryAfterMs;
      this.turnAway(upstream, flight, effect.failure);
    } else this.preempt(upstream, flight);
  }

  private wake(upstream: SimUpstream, atMs: number): void {
    const { life } = upstream;
    upstream.wakeAtMs = atMs;
    this.at(atMs, () => {
      if (upstream.life !== life || upstream.wakeAtMs !== atMs) return;
      upstream.wakeAtMs = Infinity;
      this.tell(upstream, { type: 'ticked' });
    });
  }

  private start(upstream: SimUpstream, flight: Flight): void {
    const { ask } = flight;
    if (upstream.residents.get(ask.model)?.phase === 'loading') {
      this.turnBack(upstream, flight);
      return;
    }
    flight.phase = 'running';
    flight.startedAtMs = this.nowMs;
    flight.madeAtStart = flight.made;
    upstream.queued -= 1;
    upstream.running += 1;
    this.logs[upstream.index]!.started(this.nowMs, ask, flight.deadlineAtMs);
    if (flight.preemptions === 0) this.tally.waited(flight, this.nowMs - ask.atMs);
    const resident = upstream.residents.get(ask.model);
    if (resident) {
      resident.running += 1;
      resident.lastUsedAtMs = this.nowMs;
    }
    if (upstream.engine) upstream.engine.add(flight, this.nowMs);
    else this.serve(upstream, flight);
  }

  /** The queue started a request whose model is not there yet: nothing can run. */
  private turnBack(upstream: SimUpstream, flight: Flight): void {
    const { requestId } = flight.ask;
    upstream.flights.delete(requestId);
    upstream.queued -= 1;
    this.tell(upstream, { type: 'released', requestId, outcome: 'cancelled', tokenCount: 0 });
    this.learn(flight, 'refused', upstream.queue.load(this.nowMs));
    this.again(flight, 'model-absent');
  }

  private serve(upstream: SimUpstream, flight: Flight): void {
    const { life } = upstream;
    this.at(this.nowMs + flight.ask.serviceMs, () => {
      if (upstream.life === life) this.finish(upstream, flight);
    });
  }

  private turnAway(upstream: SimUpstream, flight: Flight, reason: string): void {
    upstream.flights.delete(flight.ask.requestId);
    upstream.queued -= 1;
    const { ask, deadlineAtMs } = flight;
    if (reason === 'deadline-unmeetable') {
      this.logs[upstream.index]!.refuse(this.nowMs, ask, deadlineAtMs, this.leastNeedMs(ask));
    }
    this.learn(flight, 'refused', upstream.queue.load(this.nowMs));
    this.again(flight, reason);
  }

  private leastNeedMs(ask: Ask): number {
    if (!ask.model) return ask.serviceMs;
    const { curve } = this.options;
    return ask.promptTokens * curve.prefillTokenMs + stepMs(curve, 1);
  }

  private preempt(upstream: SimUpstream, flight: Flight): void {
    if (flight.phase !== 'running') return;
    upstream.engine?.remove(flight, this.nowMs);
    flight.preemptions += 1;
    this.tally.preemptions += 1;
    this.leave(upstream, flight);
    this.released(upstream, flight, 'preempted');
    this.offer(flight, upstream);
  }

  private finish(upstream: SimUpstream, flight: Flight): void {
    flight.phase = 'ended';
    this.leave(upstream, flight);
    this.tally.answered(flight, this.nowMs);
    if (flight.ask.model) {
      this.demandOf(flight.ask.model).serviceMs += this.nowMs - flight.startedAtMs;
    }
    this.released(upstream, flight, 'answered');
    this.learn(flight, 'answered', upstream.queue.load(this.nowMs));
  }

  private leave(upstream: SimUpstream, flight: Flight): void {
    upstream.flights.delete(flight.ask.requestId);
    upstream.running -= 1;
    const resident = upstream.residents.get(flight.ask.model);
    if (!resident) return;
    resident.running -= 1;
    if (resident.phase === 'unloading' && resident.running === 0) {
      this.removeResident(upstream, resident);
    }
  }

  private released(upstream: SimUpstream, flight: Flight, outcome: 'answered' | 'preempted'): void {
    this.pace(upstream);
    const tokenCount = flight.made - flight.madeAtStart;
    this.tell(upstream, { type: 'released', requestId: flight.ask.requestId, outcome, tokenCount });
    const { running, slots } = upstream.queue.load(this.nowMs);
    if (upstream.queued === 0 && running < slots) this.logs[upstream.index]!.idle(this.nowMs);
  }

  private pace(upstream: SimUpstream): void {
    if (!upstream.engine || this.nowMs - upstream.pacedAtMs < PACE_EVERY_MS) return;
    upstream.pacedAtMs = this.nowMs;
    this.tell(upstream, { type: 'paced', ...upstream.engine.takePace() });
  }

  private watchEngine(upstream: SimUpstream): void {
    const { engine, life } = upstream;
    if (!engine || engine.dueAtMs === upstream.engineDueAtMs) return;
    const atMs = engine.dueAtMs;
    upstream.engineDueAtMs = atMs;
    if (atMs === Infinity) return;
    this.at(atMs, () => {
      if (upstream.life !== life || upstream.engineDueAtMs !== atMs) return;
      upstream.engineDueAtMs = -1;
      engine.turn(this.nowMs);
      this.watchEngine(upstream);
    });
  }

  // --- Models ---

  private order(orders: readonly PlacementOrder[]): void {
    for (const order of orders) {
      if (order.type === 'load') this.load(order);
      else this.unload(order);
    }
  }

  private install({ index, model }: PlacementOrder): void {
    const upstream = this.upstreams[index]!;
    const sizeBytes = this.sizes.get(model) ?? 0;
    if (sizeBytes > upstream.freeBytes || upstream.residents.has(model)) return;
    this.addResident(upstream, model, sizeBytes, 'ready');
    this.believe(this.ready, model, index, true);
  }

  private load({ index, model, urgency }: PlacementOrder): void {
    const upstream = this.upstreams[index]!;
    const sizeBytes = this.sizes.get(model) ?? 0;
    const fits = sizeBytes <= upstream.freeBytes && !upstream.residents.has(model);
    const fenced = this.storeUp || upstream.group.checksFencing;
    if (!upstream.alive || !upstream.engine || !fits || !fenced) return;
    const resident = this.addResident(upstream, model, sizeBytes, 'loading');
    const { loadBytesPerMs } = this.options.curve;
    const waitMs = this.weights.expectMs(sizeBytes, loadBytesPerMs);
    resident.expectedAtMs = this.nowMs + waitMs;
    this.later(() => this.believe(this.loading, model, index, true));
    this.tell(upstream, { type: 'model', model, phase: 'loading', readyInMs: waitMs });
    this.weights.add({ index, model, sizeBytes, urgency });
    this.pullWeights();
  }

  private addResident(
    upstream: SimUpstream,
    model: string,
    sizeBytes: number,
    phase: SimResident['phase'],
  ): SimResident {
    const resident: SimResident = {
      model,
      sizeBytes,
      phase,
      lastUsedAtMs: this.nowMs,
      running: 0,
      expectedAtMs: this.nowMs,
    };
    upstream.residents.set(model, resident);
    upstream.freeBytes -= sizeBytes;
    return resident;
  }

  private pullWeights(): void {
    for (let load = this.weights.take(this.nowMs); load; load = this.weights.take(this.nowMs)) {
      const taken = load;
      const { life } = this.upstreams[load.index]!;
      const tookMs = load.sizeBytes / this.options.curve.loadBytesPerMs;
      this.at(this.nowMs + tookMs, () => this.loaded(taken, life));
    }
    const retryAtMs = this.weights.retryAtMs(this.nowMs);
    if (retryAtMs !== Infinity) this.at(retryAtMs, () => this.pullWeights());
  }

  private loaded({ index, model }: PendingLoad, life: number): void {
    this.weights.end();
    const upstream = this.upstreams[index]!;
    const resident = upstream.residents.get(model);
    if (upstream.life === life && resident?.phase === 'loading') {
      resident.phase = 'ready';
      this.tally.moved('loads', this.nowMs);
      this.tell(upstream, { type: 'model', model, phase: 'ready', readyInMs: 0 });
      this.later(() => {
        this.believe(this.loading, model, index, false);
        this.believe(this.ready, model, index, upstream.residents.get(model)?.phase === 'ready');
        this.unpark(model);
      });
    }
    this.pullWeights();
  }

  private unload({ index, model }: PlacementOrder): void {
    const upstream = this.upstreams[index]!;
    const resident = upstream.residents.get(model);
    if (!upstream.alive || resident?.phase !== 'ready') return;
    resident.phase = 'unloading';
    this.later(() => this.believe(this.ready, model, index, false));
    this.tell(upstream, { type: 'model', model, phase: 'absent', readyInMs: 0 });
    if (resident.running === 0) this.removeResident(upstream, resident);
  }

  private removeResident(upstream: SimUpstream, resident: SimResident): void {
    if (!upstream.residents.delete(resident.model)) return;
    upstream.freeBytes += resident.sizeBytes;
    this.tally.moved('unloads', this.nowMs);
  }

  private later(act: () => void): void {
    this.at(this.nowMs + (this.options.listLagMs ?? DEFAULT_LAG_MS), act);
  }

  private believe(
    where: Map<string, Set<number>>,
    model: string,
    index: number,
    holds: boolean,
  ): void {
    const set = where.get(model) ?? new Set<number>();
    where.set(model, set);
    if (holds) set.add(index);
    else set.delete(index);
  }

  private schedulePlan(): void {
    const atMs = this.nowMs + this.placement.intervalMs;
    if (atMs > this.options.durationMs) return;
    this.at(atMs, () => {
      this.schedulePlan();
      if (!this.plannerUp) return;
      const orders = this.placement.plan(this.view(), this.nowMs);
      for (const demand of this.demand.values()) {
        Object.assign(demand, { asked: 0, refused: 0, serviceMs: 0 });
      }
      this.order(orders);
    });
  }

  private view(): ClusterView {
    const engines = this.upstreams.filter(({ engine }) => engine);
    return {
      storeUp: this.storeUp,
      loadsPending: this.weights.pending,
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
        slots: upstream.queue.load(this.nowMs).slots,
        residents: [...upstream.residents.values()].map((resident) => ({ ...resident })),
      })),
    };
  }

  // --- Failures ---

  private fail(fault: Fault): void {
    const acts: Readonly<Record<Fault['type'], () => void>> = {
      'planner-lost': () => {
        this.plannerUp = false;
      },
      'planner-back': () => {
        this.plannerUp = true;
      },
      'store-lost': () => {
        this.storeUp = false;
      },
      'store-back': () => {
        this.storeUp = true;
      },
      'zone-lost': () => this.inZone(fault, (upstream) => this.kill(upstream)),
      'zone-back': () =>
        this.inZone(fault, (upstream) => {
          Object.assign(upstream, { alive: true });
        }),
      'engines-slow': () =>
        this.inZone(fault, ({ engine }) => {
          if (engine && 'factor' in fault) engine.slowdown = fault.factor;
        }),
    };
    acts[fault.type]();
  }

  private inZone(fault: Fault, act: (upstream: SimUpstream) => void): void {
    if (!('zone' in fault)) return;
    for (const upstream of this.upstreams) {
      if (!fault.zone || upstream.group.availabilityZone === fault.zone) act(upstream);
    }
  }

  private kill(upstream: SimUpstream): void {
    const flights = [...upstream.flights.values()].sort(queuedFirst);
    upstream.engine?.crash();
    for (const { requestId } of flights.map(({ ask }) => ask)) {
      const running = upstream.flights.get(requestId)?.phase === 'running';
      upstream.queue.step(
        running
          ? { type: 'released', requestId, outcome: 'broken', tokenCount: 0 }
          : { type: 'abandoned', requestId },
        this.nowMs,
      );
    }
    Object.assign(upstream, { alive: false, life: upstream.life + 1, running: 0, queued: 0 });
    Object.assign(upstream, { wakeAtMs: Infinity, engineDueAtMs: Infinity });
    upstream.freeBytes = upstream.memoryBytes;
    this.weights.drop(upstream.index);
    const models = [...upstream.residents.keys()];
    upstream.residents.clear();
    upstream.flights.clear();
    this.later(() => {
      for (const model of models) {
        this.believe(
          this.ready,
          model,
          upstream.index,
          upstream.residents.get(model)?.phase === 'ready',
        );
        this.believe(this.loading, model, upstream.index, false);
      }
    });
    for (const flight of flights) this.orphan(flight);
  }

  /** Its upstream has died: what is repeatable goes on elsewhere. */
  private orphan(flight: Flight): void {
    this.learn(flight, 'broken', undefined);
    if (flight.phase === 'queued' || flight.ask.kind.repeatable) {
      this.again(flight, 'no-upstream');
      return;
    }
    flight.phase = 'ended';
    this.tally.lost(flight, this.nowMs);
  }

  private createUpstreams(): readonly SimUpstream[] {
    const { deployment, curve, slotsFactor = 1 } = this.options;
    const { document } = deployment;
    const tells = (own: () => SimUpstream) => ({
      first: (flight: Flight) => {
        flight.firstAtMs = this.nowMs;
        this.tell(own(), { type: 'answering', requestId: flight.ask.requestId });
      },
      done: (flight: Flight) => this.finish(own(), flight),
    });
    const upstreams: SimUpstream[] = [];
    for (const group of document.groups) {
      for (const { id } of group.upstreams) {
        const index = upstreams.length;
        const memoryBytes = group.memoryBytes - group.kvCacheReserveBytes;
        const queue = this.options.queue({
          type: group.type,
          kinds: document.kinds,
          customers: document.customers,
          slots: Math.max(1, Math.round(group.slots * (group.type === 'engine' ? slotsFactor : 1))),
          paceGoalMs: PACE_GOAL_MS,
          longJobs: document.limits.longJobsPerUpstream,
          queueLimit: document.limits.queuePerUpstream,
        });
        const engine =
          group.type === 'engine'
            ? new SimEngine(
                curve,
                tells(() => upstreams[index]!),
              )
            : undefined;
        upstreams.push({
          index,
          id,
          group,
          queue,
          engine,
          memoryBytes,
          freeBytes: memoryBytes,
          flights: new Map(),
          residents: new Map(),
          alive: true,
          life: 0,
          wakeAtMs: Infinity,
          engineDueAtMs: Infinity,
          running: 0,
          queued: 0,
          pacedAtMs: 0,
        });
      }
    }
    return upstreams;
  }
}
