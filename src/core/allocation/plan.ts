import type { ModelId } from '../../base/index.js';
import { allocationRules } from './allocationrules.js';
import { bestMove } from './bestmove.js';
import type { HeldModel } from './heldmodel.js';
import { lacksVersion } from './lacksversion.js';
import type { Move } from './move.js';
import { LoadProjection } from './loadprojection.js';
import type { PlanInput } from './planinput.js';

/** Loads of rare models from the weight store that may always be under way. */
const MIN_RARE_LOADS = 2;

/** A model and the best move for it when it was last evaluated. */
interface Candidate {
  readonly held: HeldModel;
  move: Move;
  rank: number;
  /** Number of moves in the plan at that time: if it has grown, the candidate is stale. */
  moveCount: number;
}

/**
 * Computes the moves worth making now, the most urgent first, at most one per engine. Runs in small steps so that
 * requests need not wait for a whole plan: a plan for 28 engines took 1.8 s with cold code on a quarter of a core.
 */
export class Plan {
  readonly moves: Move[] = [];

  private readonly projection: LoadProjection;

  private readonly steps: Generator<void, void>;

  private coldLoadsLeft: number;

  private rareLoads = 0;

  constructor(input: PlanInput) {
    this.projection = new LoadProjection(input);
    this.coldLoadsLeft = input.coldLoadsLeft;
    for (const held of this.projection.held.values()) {
      if (held.readyInMs < Infinity && this.projection.isRare(held)) this.rareLoads += 1;
    }
    this.steps = this.run();
  }

  /** Runs one step. True once the plan is complete. */
  step(): boolean {
    return this.steps.next().done === true;
  }

  private *run(): Generator<void, void> {
    // The first pass may put load on engines that a later model cannot avoid; the second pass rebalances it.
    for (let pass = 0; pass < 2; pass += 1) {
      for (const held of this.projection.busy()) {
        this.projection.distribute(held);
        yield;
      }
    }
    const candidates: Candidate[] = [];
    for (const held of this.projection.held.values()) {
      const found = this.findMove(held);
      if (found) candidates.push(found);
      if (held.load > 0 || found) yield;
    }
    while (candidates.length > 0) {
      const best = candidates.reduce((one, other) => (other.rank > one.rank ? other : one));
      if (best.moveCount === this.moves.length) this.apply(best);
      const again = this.findMove(best.held);
      candidates.splice(candidates.indexOf(best), 1, ...(again ? [again] : []));
      yield;
    }
  }

  /** Returns the best move for a model, if it needs one. */
  private findMove(held: HeldModel): Candidate | undefined {
    const { isRare } = this;
    const needsNone =
      held.load === 0 &&
      held.sites.length > 0 &&
      !this.lacksAdapterSlots(held) &&
      !this.lacksVersions(held);
    if (needsNone && held.readyCount > 0) return undefined;
    const found = bestMove(this.projection, held, this.mayLoadFromStore(isRare(held)));
    return found && { held, move: found.move, rank: found.rank, moveCount: this.moves.length };
  }

  private readonly isRare = (held: HeldModel): boolean => this.projection.isRare(held);

  /** True if the adapters in use exceed the adapter slots of the model's replicas. */
  private lacksAdapterSlots({ model, sites }: HeldModel): boolean {
    const { demand, engine } = this.projection.input;
    const adapters = demand.get(model)?.adaptersInUse ?? 0;
    return adapters > sites.length * engine.adapterSlots;
  }

  /** True if streams of the model wait to be continued at a version at which it has no replica. */
  private lacksVersions(held: HeldModel): boolean {
    const { sites, input } = this.projection;
    if (!input.demand.get(held.model)?.continuedAt) return false;
    return sites.some((site) => lacksVersion(this.projection, held, site));
  }

  private mayLoadFromStore(isRare: boolean): boolean {
    if (this.coldLoadsLeft <= 0) return false;
    if (!isRare) return true;
    const share = this.projection.sites.length * allocationRules.rareLoadShare;
    return this.rareLoads < Math.max(MIN_RARE_LOADS, share);
  }

  private apply({ held, move }: Candidate): void {
    const site = this.projection.sites.find(({ upstream }) => upstream.id === move.upstream)!;
    this.moves.push(move);
    if (move.isFromStore) {
      this.coldLoadsLeft -= 1;
      if (this.projection.isRare(held)) this.rareLoads += 1;
    }
    site.isReserved = true;
    this.evict(move.evicted, move.upstream);
    this.projection.take(held, site, move.loadMs);
    this.projection.distribute(held);
  }

  private evict(evicted: readonly ModelId[], upstream: Move['upstream']): void {
    const site = this.projection.sites.find((other) => other.upstream.id === upstream)!;
    for (const model of evicted) {
      const held = this.projection.held.get(model);
      if (!held) continue;
      this.projection.drop(held, site);
      this.projection.distribute(held);
    }
  }
}
