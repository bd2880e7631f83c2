/* eslint no-param-reassign: off -- a simulated world changes its own records in place */
import { Agenda } from './agenda.js';
import type { Ask } from './ask.js';
import { createUpstreams } from './createupstreams.js';
import type { Fault } from './fault.js';
import type { Flight } from './flight.js';
import { Floor } from './floor.js';
import { Memories } from './memories.js';
import type { ClusterView, PlacementPolicy } from './placementpolicy.js';
import { RefusalLog } from './refusallog.js';
import type { Candidate, RouteOutcome, RoutePolicy } from './routepolicy.js';
import type { SeenLoad } from './queuepolicy.js';
import type { RunOptions } from './runoptions.js';
import type { SimUpstream } from './simupstream.js';
import { Tally } from './tally.js';

const MISSING_AGAIN_MS = 1000;
const DEFAULT_ATTEMPTS = 2;
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

/** What was asked of one model since the last plan. */
interface Demand {
  asked: number;
  refused: number;
  serviceMs: number;
}

/** Runs policies over a workload in virtual time. */
export class World {
  private readonly agenda = new Agenda();

  private readonly upstreams: readonly SimUpstream[];

  private readonly entries: readonly Entry[];

  private readonly placement: PlacementPolicy;

  private readonly memories: Memories;

  private readonly floor: Floor;

  private readonly parked = new Map<string, Parked>();

  private readonly refusedAt = new Map<string, number>();

  private readonly demand = new Map<string, Demand>();

  private readonly logs: readonly RefusalLog[];

  private readonly tally: Tally;

  private plannerUp = true;

  constructor(private readonly options: RunOptions) {
    const { deployment, seed } = options;
    this.tally = new Tally(options.durationMs);
    this.upstreams = createUpstreams(options, (own) => ({
      first: (flight) => this.floor.first(own(), flight),
      done: (flight) => this.floor.finish(own(), flight),
    }));
    this.logs = this.upstreams.map(() => new RefusalLog());
    this.floor = this.createFloor();
    this.memories = this.createMemories();
    const zones = [...new Set(deployment.document.groups.map((group) => group.availabilityZone))];
    this.entries = Array.from({ length: deployment.entries }, (_, entry) => ({
      route: options.route({ entry, availabilityZone: zones[entry % zones.length]!, seed }),
      heard: new Map<number, SeenLoad>(),
    }));
    this.placement = options.placement(deployment, seed);
  }

  run() {
    const begun = process.cpuUsage();
    for (const order of this.placement.start(this.view())) this.memories.install(order);
    this.schedulePlan();
    for (const fault of this.options.faults ?? []) {
      this.agenda.at(fault.atMs, () => this.fail(fault));
    }
    this.scheduleAsk(0);
    this.agenda.run();
    const used = process.cpuUsage(begun);
    return this.result((used.user + used.system) / 1e6);
  }

  private createFloor(): Floor {
    const { options: run, agenda, upstreams, logs, tally } = this;
    return new Floor({
      run,
      agenda,
      upstreams,
      logs,
      tally,
      memories: () => this.memories,
      learn: (flight, type, load) => this.learn(flight, type, load),
      again: (flight, reason) => this.again(flight, reason),
      served: ({ model }, tookMs) => {
        if (model) this.demandOf(model).serviceMs += tookMs;
      },
    });
  }

  private createMemories(): Memories {
    const { options: run, agenda, upstreams, tally } = this;
    return new Memories({
      run,
      agenda,
      upstreams,
      tell: (upstream, event) => this.floor.tell(upstream, event),
      moved: (type, nowMs) => tally.moved(type, nowMs),
      arrived: (model) => this.unpark(model),
    });
  }

  private result(cpuSeconds: number) {
    const { groups } = this.options.deployment.document;
    const accelerators = groups.reduce(
      (sum, group) => sum + group.accelerators * group.upstreams.length,
      0,
    );
    const summary = this.tally.summary(accelerators);
    const hindsight = { ...this.judge(true), plain: this.judge(false) };
    return { ...summary, hindsight, events: this.agenda.events, cpuSeconds };
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

  private scheduleAsk(index: number): void {
    const ask = this.options.asks[index];
    if (!ask) return;
    this.agenda.at(ask.atMs, () => {
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
    const choice = route.choose(flight.ask, candidates, this.agenda.nowMs);
    if (choice) {
      this.floor.offer(flight, this.upstreams[choice.index]!);
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
      for (const index of this.memories.ready.get(model) ?? NO_RESIDENT) push(index, 'ready');
      for (const index of this.memories.loading.get(model) ?? NO_RESIDENT) push(index, 'loading');
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
    if (
      this.agenda.nowMs - parked.askedAtMs >= MISSING_AGAIN_MS &&
      !this.memories.loading.get(model)?.size
    ) {
      parked.askedAtMs = this.agenda.nowMs;
      this.memories.order(this.placement.missing(model, this.view(), this.agenda.nowMs));
    }
    const expected = this.memories.expectedReadyAt(model);
    if (expected > flight.deadlineAtMs) {
      this.refuse(flight, 'model-absent');
      return;
    }
    flight.phase = 'parked';
    parked.flights.add(flight);
    this.agenda.at(flight.deadlineAtMs, () => {
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
    if (flight.ask.model) this.noteRefusal(flight.ask.model);
    this.tally.refused(flight, reason, this.agenda.nowMs);
    if (this.options.comeBack) this.comeBack(flight);
  }

  private comeBack({ ask, entry, retryAfterMs, cameBack }: Flight): void {
    if (cameBack || retryAfterMs === 0) return;
    const again = {
      ...ask,
      requestId: `${ask.requestId} again`,
      atMs: this.agenda.nowMs + retryAfterMs,
    };
    this.agenda.at(again.atMs, () => this.arrive(again, entry, true));
  }

  private noteRefusal(model: string): void {
    this.demandOf(model).refused += 1;
    const askedAtMs = this.refusedAt.get(model) ?? -Infinity;
    const busy = (this.memories.loading.get(model)?.size ?? 0) > 0;
    if (!this.placement.refused || busy || this.agenda.nowMs - askedAtMs < MISSING_AGAIN_MS) return;
    this.refusedAt.set(model, this.agenda.nowMs);
    this.memories.order(this.placement.refused(model, this.view(), this.agenda.nowMs));
  }

  private learn(flight: Flight, type: RouteOutcome['type'], load: SeenLoad | undefined): void {
    const { heard, route } = this.entries[flight.entry]!;
    if (load) heard.set(flight.upstream, load);
    route.learn({ index: flight.upstream, ask: flight.ask, type, load }, this.agenda.nowMs);
  }

  /** An upstream gave the request back unrun. */
  private again(flight: Flight, reason: string): void {
    flight.tried.push(flight.upstream);
    const attempts = this.options.attempts ?? DEFAULT_ATTEMPTS;
    const late = flight.firstAtMs < 0 && this.agenda.nowMs >= flight.deadlineAtMs;
    if (late || flight.tried.length >= attempts) this.refuse(flight, reason);
    else this.route(flight, reason);
  }

  private schedulePlan(): void {
    const atMs = this.agenda.nowMs + this.placement.intervalMs;
    if (atMs > this.options.durationMs) return;
    this.agenda.at(atMs, () => {
      this.schedulePlan();
      if (!this.plannerUp) return;
      const orders = this.placement.plan(this.view(), this.agenda.nowMs);
      for (const demand of this.demand.values()) {
        Object.assign(demand, { asked: 0, refused: 0, serviceMs: 0 });
      }
      this.memories.order(orders);
    });
  }

  private view(): ClusterView {
    const engines = this.upstreams.filter(({ engine }) => engine);
    return {
      storeUp: this.memories.storeUp,
      loadsPending: this.memories.pending,
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
        slots: upstream.queue.load(this.agenda.nowMs).slots,
        residents: [...upstream.residents.values()].map((resident) => ({ ...resident })),
      })),
    };
  }

  private fail(fault: Fault): void {
    const acts: Readonly<Record<Fault['type'], () => void>> = {
      'planner-lost': () => {
        this.plannerUp = false;
      },
      'planner-back': () => {
        this.plannerUp = true;
      },
      'store-lost': () => {
        this.memories.storeUp = false;
      },
      'store-back': () => {
        this.memories.storeUp = true;
      },
      'zone-lost': () => this.inZone(fault, (upstream) => this.lose(upstream)),
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

  /** Its upstream has died: what is repeatable goes on elsewhere. */
  private orphan(flight: Flight): void {
    this.learn(flight, 'broken', undefined);
    if (flight.phase === 'queued' || flight.ask.kind.repeatable) {
      this.again(flight, 'no-upstream');
      return;
    }
    flight.phase = 'ended';
    this.tally.lost(flight, this.agenda.nowMs);
  }

  private lose(upstream: SimUpstream): void {
    for (const flight of this.floor.kill(upstream)) this.orphan(flight);
  }
}
