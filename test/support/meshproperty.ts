import fc from 'fast-check';
import { stepMesh } from '../../src/core/mesh/index.js';
import { MeshWorld, type MeshAction } from './meshworld.js';

const small = fc.nat({ max: 11 });

const action: fc.Arbitrary<MeshAction> = fc.oneof(
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

/** Applies a sequence of actions to a simulated mesh and returns the violations. */
function run(
  seed: number,
  actions: readonly MeshAction[],
  step: typeof stepMesh,
): readonly string[] {
  const world = new MeshWorld(seed, 7, step);
  for (const each of actions) world.apply(each);
  world.settle();
  return world.violations;
}

/**
 * Checks that under random loss, delay, reordering, crashes, restarts, partitions, store outages and
 * compactions no process returns to an older version or serves before it has caught up, and all converge.
 */
export function checkMesh(
  seed: number,
  runCount: number,
  step: typeof stepMesh = stepMesh,
): fc.RunDetails<[number, MeshAction[]]> {
  const sequences = fc.array(action, { minLength: 5, maxLength: 40 });
  const property = fc.property(fc.nat(), sequences, (worldSeed, actions) => {
    const violations = run(worldSeed, actions, step);
    return violations.length === 0;
  });
  return fc.check(property, { seed, numRuns: runCount, endOnFailure: true });
}
