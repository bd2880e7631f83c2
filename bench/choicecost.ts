import type { ModelId, ServiceId, UpstreamId } from '../src/base/index.js';
import { hash32 } from '../src/core/hash/index.js';
import { onWorkPercent } from '../src/core/hostpace/index.js';
import { Fleet } from '../src/direct/route/index.js';

const UPSTREAM_COUNTS = [4, 53];
const ROUNDS = 50_000;
const SLOTS = 24;
const ADAPTER = 'a';
const TARGET = { service: 's' as ServiceId, model: 'm' as ModelId };
const TARGETS = { model: TARGET, adapter: { ...TARGET, adapter: ADAPTER } };
const PACE_PERCENTS = [60, 100, 160];
/** Requests at each upstream: with free slots everywhere, and with none. */
const LOADS = { free: 12, full: SLOTS };

interface Options {
  readonly upstreamCount: number;
  readonly isLoadAware: boolean;
  readonly load: keyof typeof LOADS;
  readonly target: keyof typeof TARGETS;
}

function fleetOf({ upstreamCount, isLoadAware, load }: Options): Fleet {
  const fleet = new Fleet('z0');
  fleet.setLoadMode(isLoadAware ? 'on' : 'off');
  for (let at = 0; at < upstreamCount; at += 1) {
    const id = `u${at}` as UpstreamId;
    fleet.put({
      id,
      service: TARGET.service,
      address: id,
      availabilityZone: `z${at % 3}`,
      slots: SLOTS,
      isLeaving: false,
      models: new Map([[TARGET.model, { version: 1, adapters: new Set([ADAPTER]) }]]),
      warm: new Set(),
      onDisk: new Set(),
    });
    const state = fleet.get(id)!;
    fleet.recordLoad(state, { running: LOADS[load], waiting: 0 }, 0);
    fleet.recordFirstEvent(state, 80, 0);
    state.pace = onWorkPercent(state.pace, PACE_PERCENTS[at % PACE_PERCENTS.length]!, 0);
  }
  return fleet;
}

/** Chooses as a run does, with the check whether the chosen upstream is full, for one urgent request after another. */
function measure(options: Options) {
  const fleet = fleetOf(options);
  const target = TARGETS[options.target];
  const cpuAtStart = process.cpuUsage();
  for (let round = 1; round <= ROUNDS; round += 1) {
    const requestId = `request-${round}`;
    const nowMs = round / ROUNDS;
    const state = fleet.choose(target, nowMs, {
      requestId,
      targetMs: 302,
      isUrgent: true,
      seed: hash32(requestId),
    })!;
    fleet.isFull(state, true, nowMs);
  }
  const { user, system } = process.cpuUsage(cpuAtStart);
  return { ...options, cpuPerChoiceUs: Math.round(((user + system) / ROUNDS) * 100) / 100 };
}

/** Measures the CPU time of a choice of upstream, load-aware and otherwise. */
export async function choiceCost(): Promise<object> {
  const loads = Object.keys(LOADS) as Options['load'][];
  const targets = Object.keys(TARGETS) as Options['target'][];
  const all: Options[] = [];
  for (const upstreamCount of UPSTREAM_COUNTS) {
    for (const load of loads) {
      for (const target of targets) {
        for (const isLoadAware of [false, true]) {
          all.push({ upstreamCount, load, target, isLoadAware });
        }
      }
    }
  }
  for (const options of all) measure(options);
  return Promise.resolve({ rows: all.map(measure) });
}
