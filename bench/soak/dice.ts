import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Chances that a seed decides. */
export class Dice {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  below(limit: number): number {
    return uniformInt(this.generator, 0, limit - 1);
  }

  pick<Value>(values: readonly Value[]): Value {
    return values[this.below(values.length)]!;
  }
}
