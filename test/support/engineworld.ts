import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  VirtualClock,
  type ModelId,
  type Ms,
  type ServiceId,
  type UpstreamId,
} from '../../src/base/index.js';
import { onWorkPercent } from '../../src/core/hostpace/index.js';
import { promptPaceRules } from '../../src/core/promptpace/index.js';
import { Fleet, type UpstreamState } from '../../src/direct/route/index.js';

/** Options of the simulation. */
interface EngineWorldOptions {
  readonly entryCount: number;
  /** True pace of each engine, and the one that it reports if another. */
  readonly engines: readonly { readonly pace: number; readonly reported?: number }[];
  readonly perS: (atMs: Ms) => number;
  readonly seed: number;
  readonly isLoadAware: boolean;
  /** Interval at which all entries learn the number of requests at each engine. */
  readonly reportMs: Ms;
  /** Time from which the first engine emits nothing. */
  readonly stallsAtMs?: Ms;
}

const TARGET = { service: 's' as ServiceId, model: 'm' as ModelId };
const TARGET_MS = 302;
const GAP_TARGET_MS = 200;
const SLOTS = 24;
const PREFILL_MS = 40;
const STREAM_MS = 2000;
const STEP_MS = 5;
const EVENT_MS = 25;
const CHECK_MS = 20;
const WAIT_SHARE = 0.24;
const PATIENCE_MS = 2000;
const DEADLINE_MS = 12_000;
const ZONES = 3;

/** Simulates engines that process one prompt at a time, and entries that know of each other only by reports. */
export class EngineWorld {
  readonly clock = new VirtualClock();

  readonly count = { asked: 0, onTime: 0, refused: 0, refusedBesideFree: 0, samples: 0, peak: 0 };

  /** For each engine: its requests now and, summed over time, and those sent to it. */
  readonly engines: { running: number; sum: number; sent: number; prefillUntilMs: Ms }[];

  private readonly fleets: Fleet[];

  private readonly generator;

  constructor(private readonly options: EngineWorldOptions) {
    this.generator = xoroshiro128plus(options.seed);
    this.engines = options.engines.map(() => ({ running: 0, sum: 0, sent: 0, prefillUntilMs: 0 }));
    this.fleets = Array.from({ length: options.entryCount }, (_one, at) => {
      const fleet = new Fleet(options.entryCount === 1 ? '' : `z${at % ZONES}`);
      fleet.setLoadMode(options.isLoadAware ? 'on' : 'off');
      for (const index of this.engines.keys()) {
        const models = new Map([[TARGET.model, { version: 1, adapters: new Set<string>() }]]);
        const info = { id: String(index), service: TARGET.service, models, slots: SLOTS };
        fleet.put({ ...info, availabilityZone: `z${index % ZONES}`, isLeaving: false } as never);
      }
      return fleet;
    });
  }

  /** Runs requests that arrive until `untilMs`, and then those that have not ended. */
  run(untilMs: Ms): this {
    for (let atMs = 0; atMs < untilMs; atMs += STEP_MS) {
      this.clock.advanceTo(atMs);
      if (atMs % this.options.reportMs === 0) this.report();
      if (atMs % EVENT_MS === 0) this.emit();
      let expected = (this.options.perS(atMs) * STEP_MS) / 1000;
      for (; expected > 0; expected -= 1) if (this.chance() < expected) this.arrive();
    }
    this.clock.advanceTo(untilMs + DEADLINE_MS);
    return this;
  }

  private report(): void {
    for (const fleet of this.fleets) {
      for (const [index, { running }] of this.engines.entries()) {
        fleet.recordLoad(this.stateOf(fleet, index), { running, waiting: 0 }, this.clock.nowMs());
      }
    }
  }

  /** Emits an event of each stream, and samples how evenly the engines are used. */
  private emit(): void {
    const nowMs = this.clock.nowMs();
    for (const [index, engine] of this.engines.entries()) {
      engine.sum += engine.running;
      for (const fleet of this.isStalled(index) ? [] : this.fleets) {
        const state = this.stateOf(fleet, index);
        if (state.streamCount > 0) fleet.recordGap(state, EVENT_MS, GAP_TARGET_MS, nowMs);
      }
    }
    const loads = this.engines.map(({ running }) => running);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    if (mean === 0) return;
    this.count.peak += Math.max(...loads) / mean;
    this.count.samples += 1;
  }

  private arrive(): void {
    this.count.asked += 1;
    const fleet = this.fleets[Math.floor(this.chance() * this.fleets.length)]!;
    this.attempt(fleet, this.clock.nowMs(), Math.floor(this.chance() * 2 ** 32));
  }

  private attempt(fleet: Fleet, arrivedAtMs: Ms, seed: number): void {
    const { clock, count } = this;
    const nowMs = clock.nowMs();
    const heldMs = nowMs - arrivedAtMs;
    const targetMs = TARGET_MS - heldMs;
    const state = fleet.choose(TARGET, nowMs, { targetMs, seed, includesLost: false })!;
    const isFull = fleet.isFull(state, false, nowMs, targetMs);
    const isPaced = !isFull && fleet.isPrefilling(state, GAP_TARGET_MS, nowMs);
    const waitMs = TARGET_MS * (isFull ? WAIT_SHARE : promptPaceRules.holdShare);
    if ((isFull || isPaced) && heldMs < waitMs) {
      clock.after(CHECK_MS, () => this.attempt(fleet, arrivedAtMs, seed));
    } else if (isFull) {
      count.refused += 1;
      if (this.engines.some(({ running }) => running < SLOTS)) count.refusedBesideFree += 1;
    } else this.send(fleet, state, arrivedAtMs);
  }

  private send(fleet: Fleet, state: UpstreamState, arrivedAtMs: Ms): void {
    const { clock } = this;
    const draft = state;
    const index = Number(state.info.id);
    const { pace, reported = pace } = this.options.engines[index]!;
    const engine = this.engines[index]!;
    const sentAtMs = clock.nowMs();
    // A stream beyond the slots waits until another one ends, so it is late.
    const queuedMs = engine.running >= SLOTS ? (STREAM_MS * pace) / SLOTS + GAP_TARGET_MS : 0;
    engine.running += 1;
    engine.sent += 1;
    draft.inFlight += 1;
    draft.prefillCount += 1;
    engine.prefillUntilMs = Math.max(sentAtMs, engine.prefillUntilMs) + PREFILL_MS * pace;
    const firstAtMs = engine.prefillUntilMs + queuedMs;
    clock.after(firstAtMs - sentAtMs, () => {
      draft.prefillCount -= 1;
      draft.streamCount += 1;
      const leave = () => {
        engine.running -= 1;
        draft.inFlight -= 1;
        draft.streamCount -= 1;
      };
      if (this.isStalled(index)) {
        clock.after(PATIENCE_MS, leave);
        return;
      }
      draft.pace = onWorkPercent(state.pace, reported * 100, firstAtMs);
      fleet.recordFirstEvent(state, firstAtMs - sentAtMs, firstAtMs);
      clock.after(STREAM_MS * pace * (0.5 + this.chance()), () => {
        leave();
        const isOnTime = firstAtMs - arrivedAtMs <= TARGET_MS && !this.isStalled(index);
        if (isOnTime) this.count.onTime += 1;
      });
    });
  }

  private isStalled(index: number): boolean {
    return index === 0 && this.clock.nowMs() >= (this.options.stallsAtMs ?? Infinity);
  }

  private stateOf(fleet: Fleet, index: number): UpstreamState {
    return fleet.get(String(index) as UpstreamId)!;
  }

  private chance(): number {
    return uniformFloat64(this.generator);
  }
}
