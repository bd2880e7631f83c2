import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Fault } from './fault.js';
import type { FaultList } from './faultlist.js';

/** Probability of each fault, from 0 to 1. */
interface FaultShares {
  readonly delay?: number;
  readonly loss?: number;
  readonly crossing?: number;
  readonly cut?: number;
  readonly crash?: number;
}

const ORDER = ['delay', 'loss', 'crossing', 'cut', 'crash'] as const;
const MAX_DELAY_MS = 200;
const MAX_TOKENS_BEFORE_CUT = 10;

/** Draws faults at random; the same seed gives the same list. */
export function seededFaults(seed: number, shares: FaultShares): FaultList {
  const random = xoroshiro128plus(seed);
  const make: Readonly<Record<(typeof ORDER)[number], () => Fault>> = {
    delay: () => ({ type: 'delay', delayMs: uniformInt(random, 1, MAX_DELAY_MS) }),
    loss: () => ({ type: 'loss' }),
    crossing: () => ({ type: 'crossing' }),
    cut: () => ({ type: 'cut', afterTokens: uniformInt(random, 0, MAX_TOKENS_BEFORE_CUT) }),
    crash: () => ({ type: 'crash' }),
  };
  return {
    next() {
      let drawn = uniformFloat64(random);
      for (const type of ORDER) {
        const share = shares[type] ?? 0;
        if (drawn < share) return make[type]();
        drawn -= share;
      }
      return { type: 'none' };
    },
  };
}
