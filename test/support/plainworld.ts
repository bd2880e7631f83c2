import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { VirtualClock, type Ms, type ServiceId, type UpstreamId } from '../../src/base/index.js';
import { onWorkPercent } from '../../src/core/hostpace/index.js';
import { plainWaitRules } from '../../src/core/plainwait/index.js';
import { Fleet, type UpstreamState } from '../../src/direct/route/index.js';

/** Options of the simulation. */
interface WorldOptions {
  readonly entryCount: number;
  readonly servers: number;
  readonly slots: number;
  readonly queue: number;
  readonly serviceMs: Ms;
  readonly targetMs: Ms;
  readonly deadlineMs: Ms;
  /** Arrival rate in requests per second at a time. */
  readonly perS: (atMs: Ms) => number;
  readonly seed: number;
  /** Sends requests to the least loaded server, however long its queue is. */
  readonly ignoresQueues?: boolean;
  /** Serves load-aware. */
  readonly isLoadAware?: boolean;
  /** Pace of a server at a time; each answer reports it. */
  readonly paceAt?: (server: number, atMs: Ms) => number;
}

interface Job {
  readonly arrivedAtMs: Ms;
  readonly entry: number;
  readonly sentAtMs: Ms;
  readonly load: number;
}

interface Server {
  readonly id: UpstreamId;
  running: number;
  readonly queue: Job[];
}

const SERVICE = 'plain' as ServiceId;
const LATENCY_MS = 1;
const STEP_MS = 5;

/**
 * Simulates callers, entries and servers with a queue each. Entries learn of each other's requests only from the load
 * that servers report with their answers.
 */
export class PlainWorld {
  readonly clock = new VirtualClock();

  inTime = 0;

  late = 0;

  refused = 0;

  asked = 0;

  private readonly fleets: Fleet[];

  private readonly servers: Server[];

  private readonly generator;

  constructor(private readonly options: WorldOptions) {
    const { entryCount, servers, slots, seed } = options;
    this.generator = xoroshiro128plus(seed);
    this.fleets = Array.from({ length: entryCount }, () => new Fleet('z'));
    this.servers = Array.from({ length: servers }, (_one, at) => ({
      id: `s${at}` as UpstreamId,
      running: 0,
      queue: [],
    }));
    for (const fleet of this.fleets) {
      fleet.setLoadMode(options.isLoadAware ? 'on' : 'off');
      for (const { id } of this.servers) {
        const info = { id, service: SERVICE, address: id, availabilityZone: 'z', slots };
        fleet.put({ ...info, isLeaving: false, models: new Map() } as never);
      }
    }
  }

  /** Runs until every request that arrives before `untilMs` is answered or refused. */
  run(untilMs: Ms): void {
    for (let atMs = 0; atMs < untilMs; atMs += STEP_MS) {
      this.clock.advanceTo(atMs);
      let expected = (this.options.perS(atMs) * STEP_MS) / 1000;
      for (; expected > 0; expected -= 1) if (this.chance() < expected) this.arrive();
    }
    this.clock.advanceTo(untilMs + 2 * this.options.deadlineMs);
  }

  private arrive(): void {
    this.asked += 1;
    this.attempt(Math.floor(this.chance() * this.fleets.length), this.clock.nowMs(), new Set());
  }

  private attempt(entry: number, arrivedAtMs: Ms, tried: Set<UpstreamId>): void {
    const { options, clock } = this;
    const nowMs = clock.nowMs();
    const fleet = this.fleets[entry]!;
    const target = { service: SERVICE, model: undefined, adapter: undefined };
    const targetMs = options.targetMs - (nowMs - arrivedAtMs);
    const seed = options.isLoadAware ? Math.floor(this.chance() * 2 ** 32) : 0;
    const state = fleet.choose(target, nowMs, { tried, targetMs, seed });
    if (!state) {
      this.refused += 1;
      return;
    }
    const heldMs = nowMs - arrivedAtMs;
    if (options.ignoresQueues || fleet.mayJoin(state, heldMs, options.targetMs, nowMs)) {
      tried.add(state.info.id);
      this.send(entry, state, arrivedAtMs, tried);
    } else if (heldMs < options.deadlineMs * plainWaitRules.lateWaitShare) {
      clock.after(plainWaitRules.recheckMs, () => this.attempt(entry, arrivedAtMs, tried));
    } else this.refused += 1;
  }

  private send(entry: number, state: UpstreamState, arrivedAtMs: Ms, tried: Set<UpstreamId>): void {
    const { clock, options } = this;
    const current = state;
    const sentAtMs = clock.nowMs();
    const load = this.fleets[entry]!.load(state.info.id, sentAtMs);
    current.inFlight += 1;
    const server = this.servers.find(({ id }) => id === state.info.id)!;
    clock.after(LATENCY_MS, () => {
      if (server.queue.length >= options.queue) {
        clock.after(LATENCY_MS, () => {
          current.inFlight -= 1;
          this.fleets[entry]!.recordOutcome(state, 'full', { service: SERVICE }, clock.nowMs());
          this.attempt(entry, arrivedAtMs, tried);
        });
        return;
      }
      server.queue.push({ arrivedAtMs, entry, sentAtMs, load });
      this.begin(server);
    });
  }

  private begin(server: Server): void {
    const { slots, serviceMs } = this.options;
    while (server.running < slots && server.queue.length > 0) {
      const job = server.queue.shift()!;
      const current = server;
      current.running += 1;
      // The processing time varies by up to 30%.
      const takesMs = serviceMs * (0.7 + 0.6 * this.chance()) * this.paceOf(server);
      this.clock.after(takesMs, () => {
        current.running -= 1;
        const report = { running: server.running, waiting: server.queue.length };
        this.begin(server);
        this.clock.after(LATENCY_MS, () => this.answered(server, job, report));
      });
    }
  }

  private answered(server: Server, job: Job, report: { running: number; waiting: number }): void {
    const nowMs = this.clock.nowMs();
    const fleet = this.fleets[job.entry]!;
    const state = fleet.get(server.id)!;
    state.inFlight -= 1;
    fleet.recordLoad(state, report, nowMs);
    state.pace = onWorkPercent(state.pace, this.paceOf(server) * 100, nowMs);
    fleet.recordServiceTime(state, nowMs - job.sentAtMs, job.load, nowMs);
    const tookMs = nowMs - job.arrivedAtMs;
    if (tookMs <= this.options.targetMs) this.inTime += 1;
    else if (tookMs <= this.options.deadlineMs) this.late += 1;
    else this.refused += 1;
  }

  private paceOf(server: Server): number {
    return this.options.paceAt?.(this.servers.indexOf(server), this.clock.nowMs()) ?? 1;
  }

  private chance(): number {
    return uniformFloat64(this.generator);
  }
}
