import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { VirtualClock, type ModelId, type Ms, type ServiceId } from '../../src/base/index.js';
import { LoadTable, loadOfOthers, sharedLoadRules } from '../../src/core/sharedload/index.js';
import { hash32 } from '../../src/core/hash/index.js';
import { Fleet, type UpstreamState } from '../../src/direct/route/index.js';

/** Options of the simulation. */
interface WorldOptions {
  readonly perS: number;
  /** Factors by which work takes longer, given to the engines in turn. */
  readonly paces: readonly number[];
  readonly sharesLoads: boolean;
  /** From then on reports are not answered. */
  readonly holderDiesAtMs?: Ms;
  readonly seed: number;
}

interface Engine {
  running: number;
  readonly queue: (() => void)[];
}

const SERVICE = 's' as ServiceId;
const ENTRIES = 30;
const ENGINES = 35;
const MODELS = 5;
const SLOTS = 24;
const LATENCY_MS = 1;
const FIRST_EVENT_MS = 80;
const STREAM_MS = 2000;
const TARGET_MS = 300;
const SAMPLE_MS = 100;

/** Simulates 30 entries that send streams to the same 35 engines. An engine queues streams beyond its 24 slots. */
export class SharedLoadWorld {
  private readonly clock = new VirtualClock();

  private readonly fleets = Array.from({ length: ENTRIES }, () => new Fleet('z'));

  private readonly engines: Engine[] = [];

  private readonly table = new LoadTable();

  /** Separate generators, so that runs with the same seed have the same arrivals whatever the entries choose. */
  private readonly arrivals;

  private readonly durations;

  private sent = 0;

  private onTime = 0;

  /** Sum over the samples of the busiest engine's load as a multiple of the mean. */
  private spreadSum = 0;

  constructor(private readonly options: WorldOptions) {
    this.arrivals = xoroshiro128plus(options.seed);
    this.durations = xoroshiro128plus(options.seed + 1);
    for (let at = 0; at < ENGINES; at += 1) {
      const models = new Map([[`m${at % MODELS}`, { adapters: new Set() }]]);
      const listed = { id: String(at), service: SERVICE, address: '', availabilityZone: 'z' };
      const upstream = { ...listed, slots: SLOTS, models, isLeaving: false };
      for (const fleet of this.fleets) fleet.put(upstream as never);
      this.engines.push({ running: 0, queue: [] });
    }
    for (const [at, fleet] of this.fleets.entries()) {
      fleet.setLoadMode(options.sharesLoads ? 'on' : 'off');
      if (options.sharesLoads) this.clock.after(at, () => this.report(String(at), fleet));
    }
  }

  /** Runs until `untilMs`; returns the share of streams on time, and the busiest engine's load to the mean load. */
  run(untilMs: Ms): { readonly onTimeShare: number; readonly busiestToMean: number } {
    const nextMs = () => (-Math.log(1 - uniformFloat64(this.arrivals)) * 1000) / this.options.perS;
    for (let atMs = nextMs(); atMs < untilMs; atMs += nextMs()) {
      const entry = Math.floor(uniformFloat64(this.arrivals) * ENTRIES);
      const model = `m${Math.floor(uniformFloat64(this.arrivals) * MODELS)}` as ModelId;
      this.clock.after(atMs, () => this.send(this.fleets[entry]!, model));
    }
    for (let atMs = SAMPLE_MS; atMs <= untilMs; atMs += SAMPLE_MS) {
      this.clock.after(atMs, () => this.sample());
    }
    this.clock.advanceTo(untilMs);
    const busiestToMean = (this.spreadSum * SAMPLE_MS) / untilMs;
    return { onTimeShare: this.onTime / this.sent, busiestToMean };
  }

  private send(fleet: Fleet, model: ModelId): void {
    const sentAtMs = this.clock.nowMs();
    const choosing = { seed: hash32(String(this.sent)), targetMs: TARGET_MS };
    const state = fleet.choose({ service: SERVICE, model }, sentAtMs, choosing)!;
    const engine = this.engines[Number(state.info.id)]!;
    this.sent += 1;
    state.inFlight += 1;
    this.clock.after(LATENCY_MS, () => {
      engine.queue.push(() => this.begin(fleet, state, engine, sentAtMs));
      if (engine.running < SLOTS) engine.queue.shift()!();
    });
  }

  private begin(fleet: Fleet, state: UpstreamState, engine: Engine, sentAtMs: Ms): void {
    const { clock, options } = this;
    const [draft, busy] = [state, engine];
    const pace = options.paces[Number(state.info.id) % options.paces.length]!;
    busy.running += 1;
    clock.after(FIRST_EVENT_MS * pace + LATENCY_MS, () => {
      if (clock.nowMs() - sentAtMs <= TARGET_MS) this.onTime += 1;
      const { running, queue } = engine;
      fleet.recordLoad(state, { running, waiting: queue.length }, clock.nowMs());
    });
    clock.after(STREAM_MS * pace * (0.5 + uniformFloat64(this.durations)), () => {
      busy.running -= 1;
      draft.inFlight -= 1;
      engine.queue.shift()?.();
    });
  }

  /** Reports an entry's loads and applies the answer, each after the time of a transmission. */
  private report(entry: string, fleet: Fleet): void {
    const { clock, table } = this;
    const sentAtMs = clock.nowMs();
    if (sentAtMs >= (this.options.holderDiesAtMs ?? Infinity)) return;
    const own = fleet.ownLoads();
    clock.after(LATENCY_MS, () => {
      table.report(entry, own, clock.nowMs());
      const loads = table.loads(ENTRIES, clock.nowMs());
      clock.after(LATENCY_MS, () => {
        if (loads) fleet.recordSharedLoads(loadOfOthers(loads, own), sentAtMs);
      });
    });
    clock.after(sharedLoadRules.reportMs, () => this.report(entry, fleet));
  }

  private sample(): void {
    const loads = this.engines.map(({ running, queue }) => running + queue.length);
    const sum = loads.reduce((total, load) => total + load, 0);
    if (sum > 0) this.spreadSum += (Math.max(...loads) * ENGINES) / sum;
  }
}
