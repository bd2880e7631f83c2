import { VirtualClock, type Clock } from '../../src/base/index.js';
import type { Engine, KeyValueStore } from '../../src/port/index.js';
import { MemoryBoard } from '../../src/shell/board/index.js';
import { UpstreamKey } from '../../src/sidecar/incarnation/index.js';
import { EngineResidency } from '../../src/sidecar/residency/index.js';
import { peerCredentials } from '../../src/shell/tls/index.js';
import { UpstreamRecord, type PlacementPlan } from '../../src/wire/index.js';
import { ModelEnginePort } from './modelengineport.js';

const STEP_MS = 50;

/** A model as listed in the document, with its adapters. */
interface Declared {
  readonly id: string;
  readonly version: string;
  readonly sizeBytes: number;
  readonly adapters?: readonly { readonly id: string; readonly sizeBytes: number }[];
}

const MODELS: readonly Declared[] = [
  { id: 'a', version: '1', sizeBytes: 50 },
  { id: 'b', version: '1', sizeBytes: 40 },
  { id: 'c', version: '1', sizeBytes: 30 },
];

/** A document with one upstream of 100 bytes, and models that do not all fit into it. */
function documentOf(checksFencing: boolean, models: readonly Declared[]): object {
  const group = {
    name: 'engines',
    availabilityZone: 'oviedo-a',
    type: 'engine',
    checksFencing,
    accelerators: 1,
    memoryBytes: 100,
    kvCacheReserveBytes: 10,
    slots: 4,
    role: 'mixed',
    upstreams: [{ id: 'redactor-1', sidecarAddress: '127.0.0.1:7001' }],
  };
  return {
    schemaVersion: 1,
    service: 'redactor',
    owner: 'post',
    region: 'cantabrico',
    customers: [],
    kinds: [{ name: 'draft', priority: 'normal', deadlineMs: 5000, weight: 1, repeatable: true }],
    models: models.map(({ adapters: _, ...model }) => ({ ...model, defaultKind: 'draft' })),
    adapters: models.flatMap(({ id: model, adapters = [] }) =>
      adapters.map((adapter) => ({ ...adapter, model })),
    ),
    groups: [group],
    weightStore: { loadsPerSecond: 3, parallelLoads: 4 },
    placement: { movePenalty: 0, spareUpstreams: 0 },
    limits: {
      bodyBytes: 100_000,
      longJobsPerUpstream: 2,
      queuePerUpstream: 100,
      ticketValidMs: 60_000,
    },
  };
}

/** Optional parts that a test provides; defaults are created for the rest. */
interface Options {
  readonly model?: ModelEnginePort;
  /** Replaces the model engine. */
  readonly engine?: Engine;
  /** Replaces the virtual clock. */
  readonly clock?: Clock;
}

const log = { info() {}, warn() {}, error() {} };
const metrics = { count() {}, gauge() {}, histogram() {} };

/** Runs the residency part of a sidecar against a model engine, a store and a virtual clock. */
export class ResidencyHarness {
  readonly clock = new VirtualClock();

  readonly engine: ModelEnginePort;

  readonly board = new MemoryBoard();

  readonly auditEntries: string[] = [];

  readonly residency: EngineResidency;

  private readonly key: UpstreamKey;

  private readonly ends: (() => void)[] = [];

  private models = MODELS;

  private revision = 0;

  constructor(
    store: KeyValueStore,
    private readonly checksFencing: boolean,
    options: Options = {},
  ) {
    this.engine = options.model ?? new ModelEnginePort(checksFencing);
    const { board } = this;
    const clock = options.clock ?? this.clock;
    this.key = new UpstreamKey('redactor-1', { store, clock, log });
    this.publish();
    const settings = { upstream: 'redactor-1', service: 'redactor', hostId: 'h' };
    this.residency = new EngineResidency({
      settings: { ...settings, listen: '127.0.0.1:0', availabilityZone: 'oviedo-a' } as never,
      clock,
      log,
      metrics,
      audit: { write: ({ act, detail }) => this.auditEntries.push(`${act} ${detail.action}`) },
      board,
      store,
      credentials: peerCredentials(null, log),
      incarnation: this.key,
      intents: this.key,
      onLeaving: () => {},
      onStop: (end) => this.ends.push(end),
      engine: options.engine ?? this.engine,
    });
    this.key.start();
  }

  /** Replaces one model of the document and publishes it. */
  setModel(changed: Declared): void {
    this.models = this.models.map((model) => (model.id === changed.id ? changed : model));
    this.publish();
  }

  /** Advances the virtual clock in steps and runs everything that becomes due. */
  async advance(ms: number): Promise<void> {
    for (let left = ms; left > 0; left -= STEP_MS) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      this.clock.advanceTo(this.clock.nowMs() + STEP_MS);
    }
  }

  plan(models: readonly string[], keepUntilPlaced: string[] = [], epoch = 1) {
    return this.residency.place({
      cell: 'redactor/cantabrico',
      epoch,
      sequence: 1,
      upstream: 'redactor-1',
      models: models.map((id) => this.planned(id)),
      role: '',
      keepUntilPlaced,
    });
  }

  rescue(id: string, heldElsewhere: string[] = [], adapter = '') {
    const ask = { service: 'redactor', model: id, adapter, deadlineMs: 5000 };
    return this.residency.rescue({ ...ask, heldElsewhere });
  }

  record(): UpstreamRecord {
    const value = this.board.get('upstream/redactor/redactor-1')?.value;
    return UpstreamRecord.decode(value ?? Buffer.alloc(0));
  }

  ready(): string[] {
    const ready = this.residency.residents().filter(({ phase }) => phase === 'ready');
    return ready.map(({ model: id }) => id).sort();
  }

  /** Returns a model as the planner sends it: with the document's version. */
  private planned(id: string): PlacementPlan['models'][number] {
    const version = this.models.find((declared) => declared.id === id)?.version ?? '';
    return { model: id, version, adapters: [], urgency: 1 };
  }

  private publish(): void {
    this.revision += 1;
    const value = Buffer.from(JSON.stringify(documentOf(this.checksFencing, this.models)));
    this.board.publish({ key: 'document/redactor', epoch: 0, sequence: this.revision, value });
  }

  end(): void {
    this.key.stop();
    for (const end of this.ends) end();
  }
}
