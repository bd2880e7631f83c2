import type { Ms } from '../../base/index.js';
import { Average } from './average.js';
import { LinearFit } from './linearfit.js';
import type { Offer } from './offer.js';

const LEARN_PART = 0.05;
const PACE_PART = 0.3;
/** Until something has been measured. */
const FIRST_GUESS_MS = 100;
const TOKENS_GUESS = 100;
/** Allowance for what varies, in mean deviations. */
const SAFETY_DEVIATIONS = 0.25;

/** What requests of one model, or one route, cost: learnt from those that ran. */
interface Cost {
  /** Time from the start to the first token (engines) or the whole answer (plain services). */
  readonly first: LinearFit;
  readonly tokens: Average;
}

/** Estimates of what requests will cost at this upstream. */
export class Estimates {
  private readonly costs = new Map<string, Cost>();

  /** All models together: for a model that is new here. */
  private readonly overall = new LinearFit();

  private readonly gap = new Average(PACE_PART);

  constructor(private readonly paceGoalMs: Ms) {}

  /** Time between tokens now. */
  get gapMs(): Ms {
    return this.gap.or(this.paceGoalMs);
  }

  learnFirst(offer: Offer, tookMs: Ms): void {
    this.costOf(offer).first.add(offer.promptTokens, tookMs);
    this.overall.add(offer.promptTokens, tookMs);
  }

  learnTokens(offer: Offer, tokenCount: number): void {
    this.costOf(offer).tokens.add(tokenCount);
  }

  learnPace(gapMs: Ms): void {
    this.gap.add(gapMs);
  }

  /** Time that must be left at the start so that the deadline is met. */
  needMs(offer: Offer): Ms {
    const fit = this.fitOf(offer);
    if (!fit.known) return FIRST_GUESS_MS;
    return fit.predict(offer.promptTokens) + SAFETY_DEVIATIONS * fit.spread;
  }

  /** Time that the request will hold its place. */
  holdMs(offer: Offer): Ms {
    const fit = this.fitOf(offer);
    const firstMs = Math.max(1, fit.known ? fit.predict(offer.promptTokens) : FIRST_GUESS_MS);
    if (!offer.model) return firstMs;
    return firstMs + this.tokensOf(offer) * this.gapMs;
  }

  private tokensOf(offer: Offer): number {
    const tokens = this.costs.get(this.nameOf(offer))?.tokens.or(TOKENS_GUESS) ?? TOKENS_GUESS;
    return offer.maxTokens > 0 ? Math.min(offer.maxTokens, tokens) : tokens;
  }

  private fitOf(offer: Offer): LinearFit {
    const own = this.costs.get(this.nameOf(offer))?.first;
    return own?.known ? own : this.overall;
  }

  private nameOf({ model, kind }: Offer): string {
    return `${model}/${kind}`;
  }

  private costOf(offer: Offer): Cost {
    const name = this.nameOf(offer);
    const cost = this.costs.get(name) ?? {
      first: new LinearFit(),
      tokens: new Average(LEARN_PART),
    };
    this.costs.set(name, cost);
    return cost;
  }
}
