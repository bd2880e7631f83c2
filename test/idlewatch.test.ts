import test from 'ava';
import { VirtualClock, type ModelId, type ServiceId, type UpstreamId } from '../src/base/index.js';
import type { PlanInput, PlanUpstream } from '../src/core/allocation/index.js';
import { IdleWatch } from '../src/direct/orders/idlewatch.js';

const SERVICE = 's' as ServiceId;
const REFUSED = 'm1' as ModelId;
const LOAD_MS = 1200;

function upstream(id: string, held: readonly string[], more: Partial<PlanUpstream> = {}) {
  const placed = held.map((model) => ({
    model: model as ModelId,
    phase: 'ready' as const,
    ageMs: 60_000,
    adapters: new Set<string>(),
  }));
  const none = new Set<ModelId>();
  const empty = { slots: 8, isBusy: false, warm: none, onDisk: none, load: 0 };
  return { id: id as UpstreamId, placed, ...empty, ...more };
}

/** Returns the gauges and log lines of four seconds with these upstreams. */
function watch(
  upstreams: readonly PlanUpstream[],
  { coldLoadsLeft = 5, refused = [REFUSED] }: { coldLoadsLeft?: number; refused?: ModelId[] } = {},
): { gauges: number[]; engines: readonly string[] } {
  const clock = new VirtualClock();
  const gauges: number[] = [];
  const lines: { engines: readonly string[] }[] = [];
  const models = ['m1', 'm2', 'm3'].map((name) => ({
    id: name as ModelId,
    sizeMb: 10,
    adapterCount: 0,
    adapterSizeMb: 0,
    loadMs: LOAD_MS,
    diskLoadMs: 500,
    warmLoadMs: 400,
  }));
  const input: PlanInput = {
    engine: {
      weightsMb: 15,
      adapterSlots: 4,
      loadsPerSecond: 3,
      models: new Map(models.map((model) => [model.id, model])),
    },
    upstreams,
    demand: new Map(),
    isDemandKnown: true,
    coldLoadsLeft,
  };
  const idleWatch = new IdleWatch({
    clock,
    log: {
      info: (_message, fields) => lines.push(fields as { engines: readonly string[] }),
      warn() {},
      error() {},
    },
    metrics: { count() {}, gauge: (_name, value) => gauges.push(value), histogram() {} },
    input: () => input,
    refusedSince: () => refused,
  });
  for (let nowMs = 0; nowMs <= 4000; nowMs += 100) {
    clock.advanceTo(nowMs);
    idleWatch.tick(SERVICE);
  }
  return { gauges, engines: lines.at(-1)?.engines ?? [] };
}

// Guards against engines that do nothing, unnoticed, while requests for a model are refused.
test('engines that are idle for longer than a load are reported with what prevents a move', (t) => {
  const young = upstream('u4', ['m2']);
  const loading = young.placed.map((placed) => ({ ...placed, phase: 'loading' as const }));
  const { gauges, engines } = watch([
    upstream('u1', [], { isBusy: true }),
    upstream('u2', ['m1']),
    upstream('u3', ['m2']),
    { ...young, placed: loading },
    upstream('u5', ['m2'], { load: 3 }),
  ]);
  t.deepEqual(engines, ['u1:resting', 'u2:holds-one', 'u3:no-gain', 'u4:no-room']);
  t.deepEqual(gauges, [0, 0, 4, 4, 4]);
});

test('an engine is reported with the load budget if that is used up and the model is not at its host', (t) => {
  const onDisk = new Set([REFUSED]);
  const upstreams = [upstream('u1', ['m2']), upstream('u2', ['m2'], { onDisk })];
  t.deepEqual(watch(upstreams, { coldLoadsLeft: 0 }).engines, ['u1:load-budget', 'u2:no-gain']);
});

test('idle engines are not reported while nothing is refused', (t) => {
  const { gauges, engines } = watch([upstream('u1', ['m2'])], { refused: [] });
  t.deepEqual(engines, []);
  t.deepEqual(gauges, [0, 0, 0, 0, 0]);
});
