import type { Incarnation, ModelId, Ms } from '../src/base/index.js';
import { committedBytes, holdingKeyOf } from '../src/core/ledger/index.js';
import {
  emptyResidency,
  stepResidency,
  type ResidencyEvent,
  type ResidencyState,
} from '../src/core/residency/index.js';
import type { EngineReport } from '../src/port/index.js';

/** Numbers of models in the document and in memory; several, to show how cost scales. */
const SIZES = [10, 40, 160, 640];

const MEASURE_MS: Ms = 700;
const BATCH = 20;

const modelName = (index: number) => `model-${index}` as ModelId;

function reportOf(models: number, sequence: number): EngineReport {
  const residents = Array.from({ length: models }, (_, index) => ({
    model: modelName(index),
    version: '1',
    sizeBytes: 10,
    phase: 'ready' as const,
    adapters: [],
  }));
  return {
    engineId: 'life-1',
    sequence,
    ageMs: 0,
    settledOrderIds: Array.from({ length: 200 }, (_, index) => `u/0-${index}`),
    highestFencingToken: 1 as Incarnation,
    usedBytes: 0,
    memoryBytes: 10 * models + 100,
    residents,
    running: 0,
    queued: 0,
    leaving: false,
    role: 'mixed',
  };
}

function planOf(models: number): Extract<ResidencyEvent, { type: 'plan' }> {
  const names = Array.from({ length: models }, (_, index) => modelName(index));
  const wanted = names.map((model) => ({ model, version: '', adapters: [], urgency: 0 }));
  const plan = { epoch: 1, sequence: 1, models: wanted, role: undefined, keepUntilPlaced: [] };
  return { type: 'plan', upstream: 'u', plan };
}

/** Returns the state of a sidecar with this number of models resident and planned. */
function stateOf(models: number): ResidencyState {
  const catalogue = {
    models: new Map(
      Array.from({ length: models }, (_, index) => [
        modelName(index) as string,
        { version: '1', sizeBytes: 10 },
      ]),
    ),
    adapters: new Map(),
  };
  const none = { mixed: 0, prefill: 0, decode: 0 };
  const events: ResidencyEvent[] = [
    {
      type: 'document',
      catalogue,
      checksFencing: true,
      capacityBytes: 10 * models + 100,
      kvCacheReserveBytes: none,
    },
    { type: 'taken', incarnation: 1 as Incarnation, inherited: [], poll: 0 },
    { type: 'report', poll: 1, report: reportOf(models, 1) },
    planOf(models),
  ];
  let state = emptyResidency('u');
  for (const event of events) state = stepResidency(state, event, 0).state;
  return state;
}

function perSecond(act: (round: number) => void): number {
  const startedMs = performance.now();
  let rounds = 0;
  while (performance.now() - startedMs < MEASURE_MS) {
    for (let index = 0; index < BATCH; index += 1) act(rounds + index);
    rounds += BATCH;
  }
  return Math.round((rounds / (performance.now() - startedMs)) * 1000);
}

function measure(models: number): object {
  let state = stateOf(models);
  const start = state;
  const pinned = perSecond((round) => {
    const model = modelName(round % models);
    state = stepResidency(state, { type: 'pin', model, adapter: '' }, round).state;
    const keys = [holdingKeyOf(model, '1')];
    state = stepResidency(state, { type: 'unpin', keys }, round).state;
  });
  state = start;
  const reported = perSecond((round) => {
    const report = reportOf(models, round + 2);
    state = stepResidency(state, { type: 'report', poll: round + 2, report }, round).state;
  });
  const summed = perSecond(() => committedBytes(start.ledger));
  const ticked = perSecond((round) => stepResidency(start, { type: 'tick' }, round));
  const planned = perSecond(() => stepResidency(start, planOf(models), 0));
  return {
    models,
    pinAndUnpinPerSecond: pinned,
    reportPerSecond: reported,
    committedBytesPerSecond: summed,
    tickPerSecond: ticked,
    planPerSecond: planned,
  };
}

/** `npm run bench -- ledger-cost`: throughput of the residency core on one CPU core, by number of models. */
export async function ledgerCost(): Promise<object> {
  measure(SIZES[0] ?? 1);
  return {
    note: 'operations per second on one CPU core',
    sizes: SIZES.map((models) => measure(models)),
  };
}
