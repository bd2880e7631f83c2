import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { EngineFixture } from './memory/enginefixture.js';
import { Platform } from './memory/platform.js';
import { serviceDocument } from './memory/servicedocument.js';

const ROUNDS = 20;
const SEED = 11;

/**
 * `npm run bench -- memory-rounds [rounds]`: runs sidecar processes for an engine that checks fencing tokens and
 * for one that does not. Each round kills or freezes the sidecars while orders are in progress, starts successors, and
 * resumes the frozen ones. The engines count how often their memory was overcommitted.
 */
export async function memoryRounds(args: readonly string[]): Promise<object> {
  const rounds = Number(args[0] ?? ROUNDS);
  const platform = new Platform();
  const random = xoroshiro128plus(SEED);
  const fixtures = [true, false].map(
    (checksFencing, index) =>
      new EngineFixture(platform, `redactor-${index + 1}`, checksFencing, random, SEED + index),
  );
  await platform.start(serviceDocument.of(fixtures));
  await Promise.all(fixtures.map((fixture) => fixture.start()));
  for (let round = 0; round < rounds; round += 1) {
    await Promise.all(fixtures.map((fixture) => fixture.round(round % 2 === 0)));
  }
  await Promise.all(fixtures.map((fixture) => fixture.stop()));
  await platform.stop();
  const results = fixtures.map(({ checksFencing, engine, stalePlanCount }) => {
    const { overcommits, loads, unloads } = engine.counts;
    return {
      checksFencing,
      overcommits,
      loads,
      unloads,
      plansTakenByWokenSidecars: stalePlanCount,
    };
  });
  return { rounds, seed: SEED, engines: results };
}
