import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { VirtualClock, type Ms, type ServiceId, type UpstreamId } from '../../src/base/index.js';
import { plainRules } from '../../src/core/plainwait/index.js';
import { Fleet, type UpstreamState } from '../../src/direct/route/index.js';

/** What plays. */
interface WorldOptions {
  readonly entryCount: number;
  readonly servers: number;
  readonly slots: number;
  readonly queue: number;
  readonly serviceMs: Ms;
  readonly targetMs: Ms;
  readonly deadlineMs: Ms;
  /** Requests a second at that time. */
  readonly perS: (atMs: Ms) => number;
  readonly seed: number;
  /** Sends to the least loaded, however long its line is. */
  readonly isBlind?: boolean;
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
  readonly line: Job[];
}

const SERVICE = 'plain' as ServiceId;
const WAY_MS = 1;
const STEP_MS = 5;

/** Callers, entries that see each other only by what servers tell with answers, and servers with a line each. */
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
      line: [],
    }));
    for (const fleet of this.fleets) {
      for (const { id } of this.servers) {
        const info = { id, service: SERVICE, address: id, availabilityZone: 'z', slots };
        fleet.put({ ...info, isLeaving: false, models: new Map() } as never);
      }
    }
  }

  /** Runs until every request of that time is answered or refused. */
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
    const need = { service: SERVICE, model: undefined, adapter: undefined };
    const state = fleet.choose(need, nowMs, { tried });
    if (!state) {
      this.refused += 1;
      return;
    }
    const heldMs = nowMs - arrivedAtMs;
    if (options.isBlind || fleet.mayJoin(state, heldMs, options.targetMs, nowMs)) {
      tried.add(state.info.id);
      this.send(entry, state, arrivedAtMs, tried);
    } else if (heldMs < options.deadlineMs * plainRules.lateWaitShare) {
      clock.after(plainRules.lookMs, () => this.attempt(entry, arrivedAtMs, tried));
    } else this.refused += 1;
  }

  private send(entry: number, state: UpstreamState, arrivedAtMs: Ms, tried: Set<UpstreamId>): void {
    const { clock, options } = this;
    const mark = state;
    const sentAtMs = clock.nowMs();
    const load = this.fleets[entry]!.load(state.info.id, sentAtMs);
    mark.inFlight += 1;
    const server = this.servers.find(({ id }) => id === state.info.id)!;
    clock.after(WAY_MS, () => {
      if (server.line.length >= options.queue) {
        clock.after(WAY_MS, () => {
          mark.inFlight -= 1;
          this.fleets[entry]!.learn(state, 'full', { service: SERVICE }, clock.nowMs());
          this.attempt(entry, arrivedAtMs, tried);
        });
        return;
      }
      server.line.push({ arrivedAtMs, entry, sentAtMs, load });
      this.begin(server);
    });
  }

  private begin(server: Server): void {
    const { slots, serviceMs } = this.options;
    while (server.running < slots && server.line.length > 0) {
      const job = server.line.shift()!;
      const mark = server;
      mark.running += 1;
      // Runs differ by 30 in 100.
      const takesMs = serviceMs * (0.7 + 0.6 * this.chance());
      this.clock.after(takesMs, () => {
        mark.running -= 1;
        const told = { running: server.running, waiting: server.line.length };
        this.begin(server);
        this.clock.after(WAY_MS, () => this.answered(server, job, told));
      });
    }
  }

  private answered(server: Server, job: Job, told: { running: number; waiting: number }): void {
    const nowMs = this.clock.nowMs();
    const fleet = this.fleets[job.entry]!;
    const state = fleet.get(server.id)!;
    state.inFlight -= 1;
    fleet.learnLoad(state, told, nowMs);
    fleet.learnService(state, nowMs - job.sentAtMs, job.load);
    const tookMs = nowMs - job.arrivedAtMs;
    if (tookMs <= this.options.targetMs) this.inTime += 1;
    else if (tookMs <= this.options.deadlineMs) this.late += 1;
    else this.refused += 1;
  }

  private chance(): number {
    return uniformFloat64(this.generator);
  }
}
