import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const FACTOR = 31;
const MODULUS = 2_147_483_647;

/** Seeded random numbers. Streams with different names are independent. */
export class Random {
  private readonly generator;

  constructor(seed: number, stream: string) {
    let mix = seed + 1;
    for (const char of stream) mix = (mix * FACTOR + char.charCodeAt(0)) % MODULUS;
    this.generator = xoroshiro128plus(mix);
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  next(): number {
    return uniformFloat64(this.generator);
  }

  between(low: number, high: number): number {
    return low + (high - low) * this.next();
  }

  /** Returns the time to the next event of a Poisson process with this mean interval. */
  exponential(mean: number): number {
    return -Math.log(1 - this.next()) * mean;
  }

  /** Returns a prompt or answer size: mostly below the mean, with a long tail. */
  size(mean: number): number {
    const sum = this.exponential(mean / 2) + this.exponential(mean / 2);
    return Math.max(1, Math.round(sum));
  }

  shuffle<Item>(items: readonly Item[]): Item[] {
    const keyed = items.map((item) => ({ item, key: this.next() }));
    return keyed.sort((a, b) => a.key - b.key).map(({ item }) => item);
  }
}
