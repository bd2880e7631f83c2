import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A request of the load that is to be sent. */
interface Planned {
  readonly atMs: number;
  readonly type: 'stream' | 'lookup' | 'confirm';
  /** Unique in the load. */
  readonly id: string;
  /** Random numbers from 0 to 999, by which the request chooses its parameters. */
  readonly draws: readonly [number, number, number];
}

const DRAW_LIMIT = 999;
const TYPES = ['stream', 'stream', 'lookup', 'lookup', 'confirm'] as const;

/** Draws a load of `count` requests from a seed, with a burst in the middle third of its duration. */
export function schedule(
  seed: number,
  name: string,
  durationMs: number,
  count: number,
): readonly Planned[] {
  const random = xoroshiro128plus(seed);
  const draw = () => uniformInt(random, 0, DRAW_LIMIT);
  const planned = Array.from({ length: count }, (_, index): Planned => {
    const burst = draw() < 300;
    const spreadMs = burst ? durationMs / 3 : durationMs;
    const fromMs = burst ? durationMs / 3 : 0;
    return {
      atMs: fromMs + (spreadMs * draw()) / (DRAW_LIMIT + 1),
      type: TYPES[draw() % TYPES.length] ?? 'lookup',
      id: `${name}-${seed}-${index}`,
      draws: [draw(), draw(), draw()],
    };
  });
  return planned.toSorted((a, b) => a.atMs - b.atMs);
}
