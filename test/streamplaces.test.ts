import test from 'ava';
import { playStreams } from './support/playstreams.js';
import { streamSeeds } from './support/streamseeds.js';
import type { StreamWorld } from './support/streamworld.js';

type Options = ConstructorParameters<typeof StreamWorld>[0];

/**
 * Engines that crash with the only replica of their version and come back empty, and callers that wait for a load and
 * seldom lose their connections, so that most streams are taken up for want of a place.
 */
const PLACES = { lostPerMinute: 120 };
const LOSING: Partial<Options> = { places: PLACES, patienceMs: 6000, lossMs: 60_000 };

// Guards against streams that are refused for want of a place while servers of their version could load their model.
for (const [name, rates] of Object.entries({
  'nothing else happens': {},
  'entries are frozen': { freeze: 12 },
})) {
  test(`streams go on where places of their version are lost, nearly as often as new ones begin: ${name}`, async (t) => {
    t.deepEqual(await playStreams(rates, LOSING, { aim: 0.9 }), []);
  });
}

test('the checks find a plan that does not know software versions', async (t) => {
  const places = { ...PLACES, knowsVersions: false };
  const findings = await playStreams(
    {},
    { ...LOSING, places },
    { aim: 0.9, seeds: 2 * streamSeeds },
  );
  t.true(findings.some((finding) => finding.endsWith('that broke went on')));
});

test('the checks find streams that are held for a load no longer than new requests', async (t) => {
  const places = { ...PLACES, holdsStreams: false };
  const findings = await playStreams({}, { ...LOSING, places }, { aim: 0.9 });
  t.true(findings.some((finding) => finding.endsWith('that broke went on')));
});
