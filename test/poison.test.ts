import test from 'ava';
import fc from 'fast-check';
import type { TraitId, ServiceId, UpstreamId } from '../src/base/index.js';
import {
  crashProbability,
  judge,
  merge,
  poisonRules,
  type Crash,
  type CrashState,
  type Suspect,
} from '../src/core/poison/index.js';
import { decodeSuspects } from '../src/direct/poison/decodesuspects.js';
import { SuspectTable } from '../src/direct/poison/suspecttable.js';

const STATES: readonly CrashState[] = ['open', 'explained', 'ended', 'cleared'];
const CONTENT = 'c' as TraitId;

const SOFTWARE = { service: 's' as ServiceId, softwareVersion: 'v1' };

function crashOf(upstream: string, state: CrashState, chance = 0.01, isTrial = true): Crash {
  const companions: readonly TraitId[] = [];
  const seen = { upstream: upstream as UpstreamId, ...SOFTWARE, chance, runMs: 100, isTrial };
  return { ...seen, state, hasPriorProof: false, companions };
}

function suspectOf(crashes: readonly Crash[], trait = CONTENT): Suspect {
  const { service } = SOFTWARE;
  return { trait, service, model: undefined, path: '/p', sinceWallMs: 0, crashes };
}

const anyCrash = fc.record({
  upstream: fc.constantFrom('u1', 'u2', 'u3', 'u4') as fc.Arbitrary<UpstreamId>,
  state: fc.constantFrom(...STATES),
  chance: fc.constantFrom(1e-6, 1e-3, 0.1),
  runMs: fc.constantFrom(20, 300),
  isTrial: fc.boolean(),
  service: fc.constant(SOFTWARE.service),
  softwareVersion: fc.constantFrom('v1', 'v2', undefined),
  hasPriorProof: fc.boolean(),
  companions: fc.subarray(['x', 'y', 'z'] as TraitId[]),
});
const anySuspect = fc
  .uniqueArray(anyCrash, { selector: ({ upstream }) => upstream, maxLength: 4 })
  .map((crashes) => suspectOf([...crashes].sort((a, b) => (a.upstream < b.upstream ? -1 : 1))));

test('merged records and their verdict do not depend on the order of merging', (t) => {
  fc.assert(
    fc.property(
      fc.array(anySuspect, { minLength: 1, maxLength: 5 }),
      fc.nat(),
      (records, shift) => {
        const shifted = [
          ...records.slice(shift % records.length),
          ...records.slice(0, shift % records.length),
        ];
        const join = (all: readonly Suspect[]) =>
          [...all, ...all].reduce<Suspect | undefined>(
            (mine, theirs) => merge(mine, theirs),
            undefined,
          )!;
        t.deepEqual(join(records), join(shifted));
        t.is(judge(join(records)), judge(join(shifted)));
      },
    ),
  );
});

test('one crash is never sufficient, three always are, two only if both are improbable by chance', (t) => {
  const ended = (...chances: readonly number[]) =>
    judge(suspectOf(chances.map((chance, at) => crashOf(`u${at}`, 'ended', chance))));
  t.is(ended(), 'sound');
  t.is(ended(poisonRules.minProbability), 'suspect');
  t.is(ended(0.01, 0.01), 'poison');
  t.is(ended(0.05, 0.05), 'suspect');
  t.is(ended(1, 1, 1), 'poison');
});

test('crashes of runs sent before any crash was known count as one, with the highest probability', (t) => {
  const first = [0.001, 0.01, 0.001].map((chance, at) => crashOf(`u${at}`, 'ended', chance, false));
  t.is(judge(suspectOf(first)), 'suspect');
  t.is(judge(suspectOf([...first, crashOf('u9', 'ended', 0.05)])), 'suspect');
  t.is(judge(suspectOf([...first, crashOf('u9', 'ended', 0.01)])), 'poison');
});

test('crashes that are explained or cleared do not count', (t) => {
  const crashes = (state: CrashState) => [crashOf('u1', state), crashOf('u2', state)];
  t.is(judge(suspectOf(crashes('open'))), 'poison');
  t.is(judge(suspectOf(crashes('explained'))), 'sound');
  t.is(judge(suspectOf(crashes('cleared'))), 'sound');
});

test('the probability of a crash by chance grows with the length of the run and the rate of other crashes', (t) => {
  const calm = { upstreamCount: 13, recentCrashes: 0 };
  t.true(crashProbability(100, calm) < crashProbability(2000, calm));
  t.true(crashProbability(100, calm) < crashProbability(100, { ...calm, recentCrashes: 9 }));
  // With nine crashes in the window, two runs of 0.39 s are still no coincidence; two runs of 2 s may be one.
  const stormy = { upstreamCount: 13, recentCrashes: 9 };
  t.true(crashProbability(390, stormy) ** 2 <= poisonRules.maxProbability);
  t.true(crashProbability(2000, stormy) ** 2 > poisonRules.maxProbability);
});

function newTable(): SuspectTable {
  return new SuspectTable({ name: 'book', changed: () => {}, judged: () => {} });
}

test('an upstream that answers a request sent after a broken run has not crashed', (t) => {
  const book = newTable();
  book.add(suspectOf([crashOf('u1', 'open'), crashOf('u2', 'open')]), 1000);
  t.is(book.verdict(CONTENT), 'poison');
  book.answered('u1' as UpstreamId, 900, 1100);
  t.is(book.verdict(CONTENT), 'poison');
  book.answered('u1' as UpstreamId, 1050, 1100);
  t.is(book.verdict(CONTENT), 'suspect');
  book.settle('u2' as UpstreamId, 'ended', 1200);
  book.answered('u2' as UpstreamId, 1150, 1300);
  t.is(book.verdict(CONTENT), 'suspect');
});

test('a table sends the changes since a cursor, and everything for a cursor of another table', (t) => {
  const book = newTable();
  const traits = ['a', 'b', 'c'].map((name) => name as TraitId);
  for (const trait of traits) book.add(suspectOf([crashOf('u1', 'open')], trait), 0);
  const first = book.changesSince(undefined);
  t.deepEqual(
    first.suspects.map(({ trait }) => trait),
    traits,
  );
  t.deepEqual(book.changesSince(first).suspects, []);
  book.clear(traits[0]!, 10);
  t.deepEqual(
    book.changesSince(first).suspects.map(({ trait }) => trait),
    [traits[0]!],
  );
  t.is(book.changesSince({ book: 'another', index: 99 }).suspects.length, 3);
});

test('many suspects evict old suspects but no verdicts, and the table stays bounded', (t) => {
  const book = newTable();
  book.add(suspectOf([crashOf('u1', 'ended'), crashOf('u2', 'ended')]), 0);
  for (let at = 0; at < 5000; at += 1) {
    book.add(suspectOf([crashOf('u3', 'ended')], `f${at}` as TraitId), 1);
  }
  t.is(book.verdict(CONTENT), 'poison');
  t.true(book.sizes.suspects <= 4000);
});

test('a malformed record is rejected', (t) => {
  const whole = suspectOf([crashOf('u1', 'ended')]);
  t.deepEqual(decodeSuspects(JSON.stringify({ suspects: [whole] })), [whole]);
  const broken: readonly unknown[] = [
    null,
    [],
    { suspects: 1 },
    { suspects: [null] },
    { suspects: [{ ...whole, crashes: undefined }] },
    { suspects: [{ ...whole, crashes: [null] }] },
    { suspects: [{ ...whole, crashes: [{ ...whole.crashes[0], state: 'lost' }] }] },
  ];
  for (const value of broken) t.is(decodeSuspects(JSON.stringify(value)), undefined);
  t.is(decodeSuspects('{'), undefined);
});
