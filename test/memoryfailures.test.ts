import test from 'ava';
import type { Incarnation, ModelId, Revision } from '../src/base/index.js';
import { committedBytes } from '../src/core/ledger/index.js';
import type { EngineReport, KeyValue } from '../src/port/index.js';
import { session, type TimedEvent } from './support/session.js';
import { newSidecar, stepSidecar, type SidecarEvent } from './support/stepsidecar.js';

/** The variable parts of an engine report. */
interface ReportParts {
  readonly poll: number;
  readonly life?: number;
  readonly token?: number;
  readonly settled?: readonly string[];
  readonly ready?: readonly (readonly [string, number])[];
  readonly leaving?: boolean;
}

const SIZES = { a: 50, b: 40, c: 30 };

function report({
  poll,
  life = 1,
  token = 1,
  settled = [],
  ready = [],
  leaving = false,
}: ReportParts) {
  const residents = ready.map(([model, sizeBytes]) => ({
    model: model as ModelId,
    version: '1',
    sizeBytes,
    phase: 'ready' as const,
    adapters: [],
  }));
  const engineReport: EngineReport = {
    engineId: `life-${life}`,
    sequence: poll,
    ageMs: 0,
    settledOrderIds: settled,
    highestFencingToken: token as Incarnation,
    usedBytes: 0,
    memoryBytes: 100,
    residents,
    running: 0,
    queued: 0,
    leaving,
    role: 'mixed',
  };
  return { memory: { type: 'report', poll, report: engineReport } } as const;
}

function document(checksFencing: boolean): SidecarEvent {
  const models = new Map(
    Object.entries(SIZES).map(([id, sizeBytes]) => [id, { version: '1', sizeBytes }]),
  );
  return {
    memory: {
      type: 'document',
      catalogue: { models, adapters: new Map() },
      checksFencing,
      capacityBytes: 100,
      kvCacheReserveBytes: { mixed: 10, prefill: 10, decode: 10 },
    },
  };
}

function plan(models: readonly string[], epoch = 1): SidecarEvent {
  const wanted = models.map((model) => ({ model, version: '', adapters: [], urgency: 0 }));
  const body = { epoch, sequence: 1, models: wanted, role: undefined, keepUntilPlaced: [] };
  return { memory: { type: 'plan', upstream: 'u', plan: body } };
}

const tick: SidecarEvent = { type: 'tick' };

const swapped = (revision: number): SidecarEvent => ({
  store: { type: 'swapped', outcome: { type: 'swapped', revision: revision as Revision } },
});

const answered = (
  orderId: string,
  outcome: 'accepted' | 'unanswered' | 'fenced',
): SidecarEvent => ({
  memory: { type: 'answered', orderId, outcome },
});

const lost: SidecarEvent = {
  store: { type: 'store-failed', failure: { type: 'store-outcome-unknown', detail: 'lost' } },
};

const down: SidecarEvent = {
  store: { type: 'store-failed', failure: { type: 'store-unavailable', detail: 'down' } },
};

/** The upstream's key as written by `owner`, with intents for loads that may have been sent. */
function key(incarnation: number, owner: string, revision: number, loads: string[] = []): KeyValue {
  const intents = loads.map((model, index) => ({
    order: {
      orderId: `u/${incarnation}-${index + 1}`,
      fencingToken: incarnation,
      action: 'load-model',
      model,
      version: '1',
      sizeBytes: SIZES[model as 'a'],
    },
    attempt: 1,
  }));
  const value = JSON.stringify({ incarnation, owner, intents });
  return { key: 'upstream', value, revision: revision as Revision };
}

const read = (item: KeyValue | undefined): SidecarEvent => ({ store: { type: 'read', item } });

/** Events until a sidecar may send orders: it takes incarnation 1 and receives a report requested after that. */
function initialEvents(checksFencing: boolean): TimedEvent<SidecarEvent>[] {
  return [
    { atMs: 0, event: document(checksFencing) },
    { atMs: 0, event: tick },
    { atMs: 2, event: read(undefined) },
    { atMs: 4, event: swapped(1) },
    { atMs: 10, event: report({ poll: 1 }) },
  ];
}

/** A failure scenario; its events take place after the sidecar may send orders. */
interface Failure {
  readonly name: string;
  readonly checksFencing?: boolean;
  /** Memory committed at the end, in bytes. */
  readonly committed: number;
  /** Replaces the default initial events. */
  readonly before?: readonly TimedEvent<SidecarEvent>[];
  readonly events: readonly (readonly [number, SidecarEvent])[];
}

const loadA = [
  [20, plan(['a'])],
  [22, swapped(2)],
] as const;

const FAILURES: readonly Failure[] = [
  {
    name: 'order-lost',
    committed: 60,
    events: [
      ...loadA,
      [2022, answered('u/1-1', 'unanswered')],
      [2100, report({ poll: 2 })],
      [3100, tick],
      [3102, swapped(3)],
      [3110, answered('u/1-1', 'accepted')],
      [3200, report({ poll: 3, settled: ['u/1-1'], ready: [['a', 50]] })],
    ],
  },
  {
    name: 'order-late',
    checksFencing: true,
    committed: 100,
    events: [
      [20, plan(['a'])],
      [2020, answered('u/1-1', 'unanswered')],
      [2100, report({ poll: 2 })],
      [2110, plan(['b'], 2)],
      [2200, report({ poll: 3, settled: ['u/1-2'], ready: [['b', 40]] })],
      [
        2300,
        report({
          poll: 4,
          settled: ['u/1-1', 'u/1-2'],
          ready: [
            ['a', 50],
            ['b', 40],
          ],
        }),
      ],
    ],
  },
  {
    name: 'report-lags',
    committed: 60,
    events: [
      ...loadA,
      [30, answered('u/1-1', 'accepted')],
      [40, report({ poll: 2 })],
      [50, report({ poll: 4, settled: ['u/1-1'], ready: [['a', 50]] })],
      [60, report({ poll: 3 })],
    ],
  },
  {
    name: 'engine-restarts',
    committed: 60,
    events: [
      ...loadA,
      [30, answered('u/1-1', 'accepted')],
      [40, report({ poll: 2, life: 2 })],
      [1100, tick],
      [1102, swapped(3)],
      [1200, report({ poll: 3, life: 2, settled: ['u/1-1'], ready: [['a', 50]] })],
    ],
  },
  {
    name: 'store-down',
    committed: 10,
    events: [
      [15, { memory: { type: 'store-failing' } }],
      [20, plan(['a'])],
      [30, { memory: { type: 'rescue', model: 'b', adapter: '', replicas: [] } }],
      [40, { memory: { type: 'pin', model: 'a', adapter: '' } }],
    ],
  },
  {
    name: 'store-down-checking',
    checksFencing: true,
    committed: 60,
    events: [
      [15, { memory: { type: 'store-failing' } }],
      [20, plan(['a'])],
      [30, answered('u/1-1', 'accepted')],
      [90, report({ poll: 2, settled: ['u/1-1'], ready: [['a', 50]] })],
    ],
  },
  {
    name: 'write-answer-lost',
    committed: 60,
    events: [
      [20, plan(['a'])],
      [2020, lost],
      [2300, tick],
      [2302, read(key(1, 'us', 2, ['a']))],
    ],
  },
  {
    name: 'sidecar-died',
    committed: 100,
    before: [
      { atMs: 0, event: document(false) },
      { atMs: 0, event: tick },
      { atMs: 2, event: read(key(1, 'them', 7, ['a'])) },
      { atMs: 4, event: swapped(8) },
      { atMs: 10, event: report({ poll: 1 }) },
    ],
    events: [
      [20, plan(['b'])],
      [30, report({ poll: 2 })],
      [1100, tick],
      [1102, swapped(9)],
      [1200, report({ poll: 3, settled: ['u/1-1'], ready: [['a', 50]] })],
    ],
  },
  {
    name: 'paused-after-intent',
    committed: 60,
    events: [
      [20, plan(['a'])],
      [60_000, swapped(2)],
      [
        60_002,
        { store: { type: 'swapped', outcome: { type: 'conflict', current: key(2, 'them', 9) } } },
      ],
      [70_000, tick],
    ],
  },
  {
    name: 'fenced',
    checksFencing: true,
    committed: 60,
    events: [
      [20, plan(['a'])],
      [30, answered('u/1-1', 'fenced')],
      [5000, tick],
      [5100, { memory: { type: 'rescue', model: 'b', adapter: '', replicas: [] } }],
    ],
  },
  {
    name: 'order-lost-and-engine-restarts',
    committed: 100,
    events: [
      ...loadA,
      [30, report({ poll: 2, life: 2 })],
      [2022, answered('u/1-1', 'unanswered')],
      [2030, plan(['b', 'c'], 2)],
      [3100, tick],
      [3102, swapped(3)],
    ],
  },
  {
    name: 'order-late-and-sidecar-died',
    checksFencing: true,
    committed: 100,
    before: [
      { atMs: 0, event: document(true) },
      { atMs: 0, event: tick },
      { atMs: 2, event: read(key(1, 'them', 7)) },
      { atMs: 4, event: swapped(8) },
      { atMs: 10, event: report({ poll: 1 }) },
    ],
    events: [
      [20, plan(['b'])],
      [30, report({ poll: 2, ready: [['a', 50]] })],
      [40, report({ poll: 3, token: 2, settled: ['u/2-1'], ready: [['a', 50]] })],
    ],
  },
  {
    name: 'store-down-and-sidecar-died',
    committed: 60,
    before: [
      { atMs: 0, event: document(false) },
      { atMs: 0, event: tick },
      { atMs: 2, event: down },
      { atMs: 10, event: report({ poll: 1, ready: [['a', 50]] }) },
    ],
    events: [
      [20, { memory: { type: 'pin', model: 'a', adapter: '' } }],
      [30, { memory: { type: 'rescue', model: 'b', adapter: '', replicas: [] } }],
      [40, plan(['b'])],
      [300, tick],
      [302, down],
    ],
  },
  {
    name: 'write-answer-lost-and-paused',
    committed: 60,
    events: [
      [20, plan(['a'])],
      [90_000, lost],
      [90_300, tick],
      [90_302, read(key(2, 'them', 9, ['a']))],
      [99_000, tick],
    ],
  },
  {
    name: 'engine-restarts-and-paused',
    committed: 60,
    events: [
      ...loadA,
      [30, answered('u/1-1', 'unanswered')],
      [90_000, report({ poll: 2, life: 2 })],
      [90_001, tick],
      [
        90_003,
        { store: { type: 'swapped', outcome: { type: 'conflict', current: key(2, 'them', 9) } } },
      ],
      [99_000, tick],
    ],
  },
  {
    name: 'sidecar-died-twice',
    committed: 100,
    before: [
      { atMs: 0, event: document(false) },
      { atMs: 0, event: tick },
      { atMs: 2, event: read(key(1, 'them', 7, ['a', 'b'])) },
      {
        atMs: 4,
        event: {
          store: {
            type: 'swapped',
            outcome: { type: 'conflict', current: key(2, 'others', 8, ['a', 'b']) },
          },
        },
      },
      { atMs: 6, event: swapped(9) },
      { atMs: 10, event: report({ poll: 1 }) },
    ],
    events: [
      [20, plan(['c'])],
      [1100, tick],
      [1102, swapped(10)],
    ],
  },
];

for (const { name, checksFencing = false, committed, before, events } of FAILURES) {
  test(`${name.replaceAll('-', ' ')}: reserved memory stays reserved`, (t) => {
    const timed = events.map(([atMs, event]) => ({ atMs, event }));
    const all = [...(before ?? initialEvents(checksFencing)), ...timed];
    const state = session(t, `memory-${name}`, stepSidecar, newSidecar('us'), all);
    t.is(committedBytes(state.memory.ledger), committed);
  });
}
