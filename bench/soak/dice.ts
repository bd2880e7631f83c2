import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Pseudo-random choices that a seed determines. */
export class Dice {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns an integer from 0 to `limit - 1`. */
  below(limit: number): number {
    return uniformInt(this.generator, 0, limit - 1);
  }

  pick<Value>(values: readonly Value[]): Value {
    return values[this.below(values.length)]!;
  }
}
