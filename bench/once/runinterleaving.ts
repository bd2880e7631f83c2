import { World } from './world.js';

type Action = (world: World, pick: number) => void;

const REQUESTS = 6;

const send: Action = (world, pick) => {
  world.send({
    entry: pick % 2,
    upstream: Math.floor(pick / 2) % 2,
    isAffordable: Math.floor(pick / 4) % 8 !== 0,
    requestIndex: Math.floor(pick / 32) % REQUESTS,
  });
};

/** Share of each action, in parts of 128. */
const WEIGHTS: readonly (readonly [number, Action])[] = [
  [54, (world, pick) => world.deliver(pick)],
  [18, send],
  [22, (world, pick) => world.admit(pick)],
  [5, (world, pick) => world.lose(pick)],
  [5, (world, pick) => world.timeOut(pick)],
  [4, (world, pick) => world.advanceClock(pick)],
  [2, (world, pick) => world.kill(pick)],
  [1, (world, pick) => world.pause(pick)],
  [3, (world) => world.resumeAll()],
  [2, (world, pick) => world.killEntry(pick)],
  [1, (world, pick) => world.pauseEntry(pick)],
  [1, (world) => world.stopStore()],
  [2, (world) => world.restoreStore()],
  [3, (world, pick) => world.leave(pick)],
  [4, (world, pick) => world.handOver(pick)],
  [1, (world) => world.killReplaced()],
];

const ACTS: readonly Action[] = WEIGHTS.flatMap(([parts, act]) => Array<Action>(parts).fill(act));

/** Rounds after the last action in which pending messages are delivered and queued requests run. */
const SETTLE_ROUNDS = 60;

/** Runs one interleaving, in which each number picks the next action. Throws a `Violation` if a promise is broken. */
export function runInterleaving(
  picks: readonly number[],
  isTraced = false,
  onTrace?: (trace: string[]) => void,
): World {
  const world = new World(isTraced);
  onTrace?.(world.trace);
  for (const pick of picks) ACTS[pick % ACTS.length]!(world, Math.floor(pick / ACTS.length));
  world.resumeAll();
  world.settle(SETTLE_ROUNDS);
  return world;
}
