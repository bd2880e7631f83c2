import type { Incarnation, ModelId, UpstreamId } from '../../src/base/index.js';
import type { CellModel, CellUpstream } from '../../src/core/placement/index.js';
import {
  createPlanner,
  stepPlanner,
  type Cell,
  type Counter,
  type PlannerEffect,
  type PlannerState,
} from '../../src/core/planner/index.js';

const GB = 1_000_000_000;

interface Resident {
  phase: 'loading' | 'ready';
}

type Place = Extract<PlannerEffect, { type: 'place' }>;

/** Simulates a cell whose upstreams execute plans as the ledger does: a load starts only if it fits. */
export class Fleet {
  readonly held = new Map<UpstreamId, Map<ModelId, Resident>>();

  readonly states = new Map<UpstreamId, CellUpstream['state']>();

  private readonly wanted = new Map<UpstreamId, Place>();

  private readonly counters = new Map<ModelId, Counter>();

  planner: PlannerState = createPlanner();

  moves = 0;

  /** Largest excess of used over available memory on any upstream, in bytes. Must stay 0. */
  overBytes = 0;

  /** Largest excess of planned over available memory on any upstream, in bytes. Must stay 0. */
  plannedOverBytes = 0;

  /** Number of rounds after which some model had no ready replica. */
  absences = 0;

  nowMs = 0;

  constructor(
    readonly models: readonly CellModel[],
    readonly upstreams: readonly Pick<CellUpstream, 'id' | 'availabilityZone' | 'capacityBytes'>[],
    readonly movePenalty = 1,
  ) {
    for (const { id } of upstreams) {
      this.held.set(id, new Map());
      this.states.set(id, 'usable');
    }
  }

  static model(id: string, gigabytes: number): CellModel {
    return { id: id as ModelId, version: '1', sizeBytes: gigabytes * GB, adapters: [], weight: 1 };
  }

  /** Adds one round's requests for a model to its counters. */
  ask(model: string, perSecond: number, serviceTimeMs: number): void {
    const id = model as ModelId;
    const before = this.counters.get(id);
    const asked = perSecond * 2;
    this.counters.set(id, {
      upstream: this.upstreams[0]?.id ?? ('' as UpstreamId),
      incarnation: 1 as Incarnation,
      model: id,
      askedCount: (before?.askedCount ?? 0) + asked,
      refusedCount: 0,
      serviceTimeMs: (before?.serviceTimeMs ?? 0) + asked * serviceTimeMs,
    });
  }

  cell(): Cell {
    return {
      models: this.models,
      counters: [...this.counters.values()],
      movePenalty: this.movePenalty,
      loadsPerSecond: 3,
      parallelLoads: 4,
      upstreams: this.upstreams.map((upstream) => ({
        ...upstream,
        slots: 16,
        role: 'mixed',
        state: this.states.get(upstream.id) ?? 'usable',
        residents: [...(this.held.get(upstream.id) ?? [])].map(([model, { phase }]) => ({
          model,
          phase,
          version: '1',
          adapters: [],
        })),
      })),
    };
  }

  /** Runs one planning round of two seconds. Loads take one round. */
  round(): readonly PlannerEffect[] {
    this.nowMs += 2_000;
    for (const held of this.held.values()) for (const each of held.values()) each.phase = 'ready';
    const { state, effects } = stepPlanner(
      this.planner,
      { type: 'round', cell: this.cell() },
      this.nowMs,
    );
    this.planner = state;
    for (const effect of effects) {
      if (effect.type === 'place') this.wanted.set(effect.upstream, effect);
    }
    for (const place of this.wanted.values()) this.executePlan(place);
    if (this.models.some(({ id }) => this.places(id) === 0)) this.absences += 1;
    return effects;
  }

  lose(upstream: UpstreamId): void {
    this.states.set(upstream, 'lost');
    this.held.get(upstream)?.clear();
    this.wanted.delete(upstream);
  }

  places(model: ModelId): number {
    return [...this.held.values()].filter((held) => held.get(model)?.phase === 'ready').length;
  }

  private sizeOf(model: ModelId): number {
    return this.models.find(({ id }) => id === model)?.sizeBytes ?? 0;
  }

  private usedBytes(upstream: UpstreamId): number {
    const held = this.held.get(upstream) ?? new Map<ModelId, Resident>();
    return [...held.keys()].reduce((sum, model) => sum + this.sizeOf(model), 0);
  }

  private executePlan(place: Place): void {
    const { upstream, models, keepUntilPlaced } = place;
    const capacity = this.upstreams.find(({ id }) => id === upstream)?.capacityBytes ?? 0;
    const held = this.held.get(upstream) ?? new Map<ModelId, Resident>();
    const named = new Set([...models.map(({ model }) => model), ...keepUntilPlaced]);
    const asked = [...named].reduce((sum, model) => sum + this.sizeOf(model), 0);
    this.plannedOverBytes = Math.max(this.plannedOverBytes, asked - capacity);
    for (const { model } of [...models].sort((a, b) => b.urgency - a.urgency)) {
      if (held.has(model)) continue;
      for (const [victim] of held) {
        if (this.usedBytes(upstream) + this.sizeOf(model) <= capacity) break;
        if (named.has(victim) || this.places(victim) < 2) continue;
        held.delete(victim);
        this.moves += 1;
      }
      if (this.usedBytes(upstream) + this.sizeOf(model) > capacity) continue;
      held.set(model, { phase: 'loading' });
      this.moves += 1;
    }
    this.overBytes = Math.max(this.overBytes, this.usedBytes(upstream) - capacity);
  }
}
