import fc from 'fast-check';
import { stepMesh } from '../../src/core/mesh/index.js';
import { MeshWorld, type Blow } from './meshworld.js';

const small = fc.nat({ max: 11 });

const blow: fc.Arbitrary<Blow> = fc.oneof(
  { weight: 5, arbitrary: fc.record({ type: fc.constant('write' as const), service: small }) },
  { weight: 6, arbitrary: fc.record({ type: fc.constant('wait' as const), ms: fc.nat(4000) }) },
  fc.record({ type: fc.constant('wait' as const), ms: fc.nat(40_000) }),
  fc.record({ type: fc.constant('remove' as const), service: small }),
  fc.record({ type: fc.constant('kill' as const), node: small }),
  fc.record({ type: fc.constant('restart' as const), node: small }),
  fc.record({ type: fc.constant('restartMany' as const), mask: fc.nat({ max: 255 }) }),
  fc.record({ type: fc.constant('publish' as const), upstream: small }),
  fc.record({ type: fc.constant('partition' as const), mask: fc.nat({ max: 255 }) }),
  fc.record({
    type: fc.constantFrom(
      'heal' as const,
      'storeDown' as const,
      'storeUp' as const,
      'cutWatches' as const,
      'compact' as const,
      'unlist' as const,
      'list' as const,
    ),
  }),
);

/** Plays one story and gives what went wrong. */
function play(seed: number, blows: readonly Blow[], step: typeof stepMesh): readonly string[] {
  const world = new MeshWorld(seed, 7, step);
  for (const each of blows) world.strike(each);
  world.settle();
  return world.faults;
}

/**
 * Under random loss, delay, reordering, deaths, restarts, partitions, outages and compactions no process
 * goes back, none serves before it has caught up, and all that live converge.
 */
export function checkMesh(
  seed: number,
  runCount: number,
  step: typeof stepMesh = stepMesh,
): fc.RunDetails<[number, Blow[]]> {
  const stories = fc.array(blow, { minLength: 5, maxLength: 40 });
  const property = fc.property(fc.nat(), stories, (worldSeed, blows) => {
    const faults = play(worldSeed, blows, step);
    return faults.length === 0;
  });
  return fc.check(property, { seed, numRuns: runCount, endOnFailure: true });
}
