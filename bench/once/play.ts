import { World } from './world.js';

type Act = (world: World, pick: number) => void;

const WISHES = 6;

const send: Act = (world, pick) => {
  world.send({
    entry: pick % 2,
    upstream: Math.floor(pick / 2) % 2,
    isAffordable: Math.floor(pick / 4) % 8 !== 0,
    wish: Math.floor(pick / 32) % WISHES,
  });
};

/** How often each thing happens, in parts of 128. */
const WEIGHTS: readonly (readonly [number, Act])[] = [
  [54, (world, pick) => world.deliver(pick)],
  [18, send],
  [22, (world, pick) => world.admit(pick)],
  [5, (world, pick) => world.lose(pick)],
  [5, (world, pick) => world.giveUp(pick)],
  [4, (world, pick) => world.pass(pick)],
  [2, (world, pick) => world.kill(pick)],
  [1, (world, pick) => world.pause(pick)],
  [3, (world) => world.wake()],
  [2, (world, pick) => world.killEntry(pick)],
  [1, (world, pick) => world.pauseEntry(pick)],
  [1, (world) => world.cutStore()],
  [2, (world) => world.mendStore()],
  [3, (world, pick) => world.leave(pick)],
  [4, (world, pick) => world.handOver(pick)],
  [1, (world) => world.bury()],
];

const ACTS: readonly Act[] = WEIGHTS.flatMap(([parts, act]) => Array<Act>(parts).fill(act));

/** Rounds after the last act in which all that is on its way arrives and all that waits is run. */
const SETTLE_ROUNDS = 60;

/** Plays one interleaving: each number picks what happens next. A violation is thrown. */
export function play(
  picks: readonly number[],
  isTraced = false,
  onTrace?: (trace: string[]) => void,
): World {
  const world = new World(isTraced);
  onTrace?.(world.trace);
  for (const pick of picks) ACTS[pick % ACTS.length]!(world, Math.floor(pick / ACTS.length));
  world.wake();
  world.settle(SETTLE_ROUNDS);
  return world;
}
