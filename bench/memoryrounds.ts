import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { EngineSite } from './memory/enginesite.js';
import { Platform } from './memory/platform.js';
import { serviceDocument } from './memory/servicedocument.js';

const ROUNDS = 20;
const SEED = 11;

/**
 * `npm run bench -- memory-rounds [rounds]`: sidecars of an engine that checks fences and of one that does
 * not, as processes; each round kills or freezes them with orders under way, starts their successors, and
 * wakes the frozen ones. The engines count what truly overflowed.
 */
export async function memoryRounds(args: readonly string[]): Promise<object> {
  const rounds = Number(args[0] ?? ROUNDS);
  const platform = new Platform();
  const random = xoroshiro128plus(SEED);
  const sites = [true, false].map(
    (checksFencing, index) =>
      new EngineSite(platform, `redactor-${index + 1}`, checksFencing, random, SEED + index),
  );
  await platform.start(serviceDocument.of(sites));
  await Promise.all(sites.map((site) => site.start()));
  for (let round = 0; round < rounds; round += 1) {
    await Promise.all(sites.map((site) => site.round(round % 2 === 0)));
  }
  await Promise.all(sites.map((site) => site.stop()));
  await platform.stop();
  const results = sites.map(({ checksFencing, engine, staleAccepted }) => {
    const { overcommits, loads, unloads } = engine.counts;
    return { checksFencing, overcommits, loads, unloads, plansTakenByWokenSidecars: staleAccepted };
  });
  return { rounds, seed: SEED, engines: results };
}
