import type { Ms } from '../../base/index.js';
import { MovingAverage } from './movingaverage.js';
import { LinearFit } from './linearfit.js';
import type { Offer } from './offer.js';

const TOKENS_WEIGHT = 0.05;
const GAP_WEIGHT = 0.3;
/** Defaults before the first measurement. */
const DEFAULT_LATENCY_MS = 100;
const DEFAULT_TOKENS = 100;
/** Safety margin for variation, in mean absolute deviations. */
const SAFETY_DEVIATIONS = 0.25;

/** Cost of requests of one model and kind, learnt from those that have run. */
interface Cost {
  /** Time from the start to the first token (engines) or the whole answer (plain services). */
  readonly first: LinearFit;
  readonly tokens: MovingAverage;
}

/** Estimates what requests will cost at this upstream. */
export class Estimates {
  private readonly costs = new Map<string, Cost>();

  /** Fit over all models; used for a model that has not been measured here. */
  private readonly overall = new LinearFit();

  private readonly gap = new MovingAverage(GAP_WEIGHT);

  constructor(private readonly paceGoalMs: Ms) {}

  /** Current time between tokens. */
  get gapMs(): Ms {
    return this.gap.valueOr(this.paceGoalMs);
  }

  learnLatency(offer: Offer, tookMs: Ms): void {
    this.costOf(offer).first.add(offer.promptTokens, tookMs);
    this.overall.add(offer.promptTokens, tookMs);
  }

  learnTokens(offer: Offer, tokenCount: number): void {
    this.costOf(offer).tokens.add(tokenCount);
  }

  learnPace(gapMs: Ms): void {
    this.gap.add(gapMs);
  }

  /** Returns the time that a request needs from its start to meet its deadline. */
  requiredMs(offer: Offer): Ms {
    const fit = this.fitOf(offer);
    if (!fit.known) return DEFAULT_LATENCY_MS;
    return fit.predict(offer.promptTokens) + SAFETY_DEVIATIONS * fit.spread;
  }

  /** Returns the expected time for which the request will hold its slot. */
  holdMs(offer: Offer): Ms {
    const fit = this.fitOf(offer);
    const firstMs = Math.max(1, fit.known ? fit.predict(offer.promptTokens) : DEFAULT_LATENCY_MS);
    if (!offer.model) return firstMs;
    return firstMs + this.tokensOf(offer) * this.gapMs;
  }

  private tokensOf(offer: Offer): number {
    const tokens =
      this.costs.get(this.nameOf(offer))?.tokens.valueOr(DEFAULT_TOKENS) ?? DEFAULT_TOKENS;
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
      tokens: new MovingAverage(TOKENS_WEIGHT),
    };
    this.costs.set(name, cost);
    return cost;
  }
}
