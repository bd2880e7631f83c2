import type { ModelId } from '../../base/index.js';
import { allocationRules } from './allocationrules.js';
import { bestMove } from './bestmove.js';
import type { Held } from './held.js';
import type { Move } from './move.js';
import { Outlook } from './outlook.js';
import type { PlanInput } from './planinput.js';

/** Loads of rare models from the store that may be under way in any case. */
const LEAST_RARE_LOADS = 2;

/** A model with its best move as it was when it was looked for. */
interface Candidate {
  readonly held: Held;
  move: Move;
  rank: number;
  /** How many moves the plan had then. */
  madeAt: number;
}

/**
 * The moves worth making now, the most urgent first; at most one an engine. Made in small steps, so that no request
 * waits for a whole plan: one of 28 engines, its code not compiled yet, took a host of a quarter of a core 1.8 s.
 */
export class Plan {
  readonly moves: Move[] = [];

  private readonly outlook: Outlook;

  private readonly steps: Generator<void, void>;

  private coldLoadsLeft: number;

  private rareLoads = 0;

  constructor(input: PlanInput) {
    this.outlook = new Outlook(input);
    this.coldLoadsLeft = input.coldLoadsLeft;
    for (const held of this.outlook.held.values()) {
      if (held.comingInMs < Infinity && this.outlook.isRare(held)) this.rareLoads += 1;
    }
    this.steps = this.run();
  }

  /** Does a little; true once the plan is done. */
  step(): boolean {
    return this.steps.next().done === true;
  }

  private *run(): Generator<void, void> {
    // The second pass levels what the first put where a later model had no choice.
    for (let pass = 0; pass < 2; pass += 1) {
      for (const held of this.outlook.busy()) {
        this.outlook.spread(held);
        yield;
      }
    }
    const candidates: Candidate[] = [];
    for (const held of this.outlook.held.values()) {
      const found = this.look(held);
      if (found) candidates.push(found);
      if (held.load > 0 || found) yield;
    }
    while (candidates.length > 0) {
      const best = candidates.reduce((one, other) => (other.rank > one.rank ? other : one));
      if (best.madeAt === this.moves.length) this.make(best);
      const again = this.look(best.held);
      candidates.splice(candidates.indexOf(best), 1, ...(again ? [again] : []));
      yield;
    }
  }

  /** The best move of a model, if it needs one. */
  private look(held: Held): Candidate | undefined {
    const { isRare } = this;
    const needsNone = held.load === 0 && held.sites.length > 0 && !this.isCrowded(held);
    if (needsNone && held.readyCount > 0) return undefined;
    const found = bestMove(this.outlook, held, this.mayLoadFromStore(isRare(held)));
    return found && { held, move: found.move, rank: found.rank, madeAt: this.moves.length };
  }

  private readonly isRare = (held: Held): boolean => this.outlook.isRare(held);

  /** Whether its adapters would have to take turns. */
  private isCrowded({ model, sites }: Held): boolean {
    const { demand, engine } = this.outlook.input;
    const adapters = demand.get(model)?.adaptersInUse ?? 0;
    return adapters > sites.length * engine.adapterSlots;
  }

  private mayLoadFromStore(isRare: boolean): boolean {
    if (this.coldLoadsLeft <= 0) return false;
    if (!isRare) return true;
    const share = this.outlook.sites.length * allocationRules.rareLoadShare;
    return this.rareLoads < Math.max(LEAST_RARE_LOADS, share);
  }

  private make({ held, move }: Candidate): void {
    const site = this.outlook.sites.find(({ upstream }) => upstream.id === move.upstream)!;
    this.moves.push(move);
    if (move.isFromStore) {
      this.coldLoadsLeft -= 1;
      if (this.outlook.isRare(held)) this.rareLoads += 1;
    }
    site.isTaken = true;
    this.evict(move.evicted, move.upstream);
    this.outlook.take(held, site, move.loadMs);
    this.outlook.spread(held);
  }

  private evict(evicted: readonly ModelId[], upstream: Move['upstream']): void {
    const site = this.outlook.sites.find((one) => one.upstream.id === upstream)!;
    for (const model of evicted) {
      const held = this.outlook.held.get(model);
      if (!held) continue;
      this.outlook.drop(held, site);
      this.outlook.spread(held);
    }
  }
}
