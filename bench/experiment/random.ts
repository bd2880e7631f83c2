import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const FACTOR = 31;
const MODULUS = 2_147_483_647;

/** Draws from one seeded stream; streams with different names do not share their numbers. */
export class Random {
  private readonly generator;

  constructor(seed: number, stream: string) {
    let mix = seed + 1;
    for (const char of stream) mix = (mix * FACTOR + char.charCodeAt(0)) % MODULUS;
    this.generator = xoroshiro128plus(mix);
  }

  /** From 0 up to 1. */
  next(): number {
    return uniformFloat64(this.generator);
  }

  between(low: number, high: number): number {
    return low + (high - low) * this.next();
  }

  /** Time until the next of events that come at random, so far apart in the mean. */
  exponential(mean: number): number {
    return -Math.log(1 - this.next()) * mean;
  }

  /** Mostly below the mean, with a tail: sizes of prompts and answers. */
  size(mean: number): number {
    const sum = this.exponential(mean / 2) + this.exponential(mean / 2);
    return Math.max(1, Math.round(sum));
  }

  shuffle<Item>(items: readonly Item[]): Item[] {
    const keyed = items.map((item) => ({ item, key: this.next() }));
    return keyed.sort((a, b) => a.key - b.key).map(({ item }) => item);
  }
}
