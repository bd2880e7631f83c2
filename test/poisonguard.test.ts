import test from 'ava';
import {
  result,
  VirtualClock,
  type Ms,
  type Revision,
  type ServiceId,
  type TraitId,
  type UpstreamId,
} from '../src/base/index.js';
import { PoisonGuard, type UpstreamRun } from '../src/direct/poison/index.js';

const SERVICE = 'engine' as ServiceId;
const [FIRST, SECOND, OTHER] = ['part:f', 'part:q', 'part:o'] as TraitId[] as [
  TraitId,
  TraitId,
  TraitId,
];
const STEP_MS = 2000;

function guardOf(clock: VirtualClock, records: Map<string, string | undefined>): PoisonGuard {
  return new PoisonGuard({
    host: 'entry-1',
    clock,
    log: { info: () => {}, warn: () => {}, error: () => {} },
    metrics: { count: () => {}, gauge: () => {}, histogram: () => {} },
    verdictValidMs: 3_600_000,
    prefix: 'poison/',
    swap: ({ key, value, expectedRevision }) => {
      records.set(key, value);
      const revision = (expectedRevision + 1) as Revision;
      return Promise.resolve(result.Ok({ type: 'swapped' as const, revision }));
    },
    isHolder: () => true,
    requestTrial: () => Promise.resolve(undefined),
    reportSoon: () => {},
    upstreamCount: () => 13,
    isListed: () => false,
  });
}

/** Plays runs at a guard that holds the order lease. */
class Play {
  readonly clock = new VirtualClock();

  /** What the store holds. */
  readonly records = new Map<string, string | undefined>();

  readonly guard = guardOf(this.clock, this.records);

  private count = 0;

  run(parts: readonly TraitId[], changes: Partial<UpstreamRun> = {}): UpstreamRun {
    this.count += 1;
    const nowMs = this.clock.nowMs();
    const content = `c${this.count}` as TraitId;
    return {
      content: () => content,
      parts,
      service: SERVICE,
      model: undefined,
      path: '/',
      upstream: `u${this.count}` as UpstreamId,
      softwareVersion: 'v1',
      sentAtMs: nowMs - 100,
      answerBeganAtMs: undefined,
      trial: parts,
      ...changes,
    };
  }

  wait(ms: Ms = STEP_MS): void {
    this.clock.advanceTo(this.clock.nowMs() + ms);
    this.guard.tick();
  }

  crash(parts: readonly TraitId[], times = 1, changes: Partial<UpstreamRun> = {}): void {
    for (let at = 0; at < times; at += 1) {
      this.guard.recordCrash(this.run(parts, changes));
      this.wait();
    }
  }

  survive(parts: readonly TraitId[], changes: Partial<UpstreamRun> = {}): void {
    const answerBeganAtMs = this.clock.nowMs() - 600;
    this.guard.recordSurvival(this.run(parts, { answerBeganAtMs, ...changes }));
  }

  verdict(parts: readonly TraitId[]): string {
    return this.guard.assess(['new' as TraitId, ...parts]).verdict;
  }
}

test('parts that always crash together bar only requests that hold both', (t) => {
  const play = new Play();
  play.crash([FIRST, SECOND], 3);
  t.is(play.verdict([FIRST, SECOND]), 'poison');
  t.is(play.verdict([FIRST]), 'suspect');
  t.is(play.verdict([SECOND, OTHER]), 'suspect');
});

test('a first part that ran well is not convicted for two deadly parts beside it', (t) => {
  const play = new Play();
  play.survive([FIRST]);
  play.wait();
  play.crash([FIRST, SECOND], 1, { trial: [] });
  play.crash([FIRST, OTHER], 1, { trial: [] });
  play.crash([FIRST, SECOND], 2);
  t.is(play.verdict([FIRST, SECOND]), 'poison');
  t.not(play.verdict([FIRST]), 'poison');
});

test('a part that ran well is convicted if it crashes upstreams beside any other', (t) => {
  const play = new Play();
  play.survive([FIRST]);
  play.wait();
  for (let at = 0; at < 4; at += 1) play.crash([FIRST, `part:o${at}` as TraitId]);
  t.is(play.verdict([FIRST]), 'poison');
});

test('a run without the other part tells two parts apart', (t) => {
  const play = new Play();
  play.crash([FIRST, SECOND], 3);
  play.survive([FIRST]);
  t.is(play.verdict([FIRST]), 'sound');
  t.is(play.verdict([SECOND]), 'poison');
});

test('trials with one of two parts that crash together only are not limited to one', (t) => {
  const play = new Play();
  play.crash([FIRST, SECOND], 3);
  const request = { traits: [FIRST], entry: 'entry-2' };
  for (let at = 0; at < 3; at += 1) {
    t.true(play.guard.decideTrial({ ...request, isOver: false }));
    play.guard.decideTrial({ ...request, isOver: true });
  }
});

test('crashes under a trial of one part do not count as trials of the others there', (t) => {
  const play = new Play();
  for (let at = 0; at < 4; at += 1) {
    const other = `part:o${at}` as TraitId;
    play.crash([FIRST, other], 1, { trial: [other] });
  }
  t.is(play.verdict([FIRST]), 'suspect');
});

test('a run on other software proves nothing for the software that crashed', (t) => {
  const play = new Play();
  play.crash([SECOND], 2);
  play.survive([SECOND], { softwareVersion: 'v2' });
  t.is(play.verdict([SECOND]), 'suspect');
  play.crash([SECOND]);
  t.is(play.verdict([SECOND]), 'poison');
});

test('a part that has run well is suspected from its second crash on only', (t) => {
  const play = new Play();
  play.survive([FIRST]);
  play.wait();
  play.crash([FIRST]);
  t.is(play.verdict([FIRST]), 'sound');
  play.crash([FIRST]);
  t.is(play.verdict([FIRST]), 'suspect');
});

test('a run that went well into its answer is no evidence against its parts', (t) => {
  const play = new Play();
  play.wait();
  play.crash([FIRST], 5, { answerBeganAtMs: 0 });
  t.is(play.verdict([FIRST]), 'sound');
});

test('a part that a run has cleared leaves the record of the crash before all entries can be killed', async (t) => {
  const play = new Play();
  const run = play.run([FIRST], { trial: [] });
  play.guard.recordCrash(run);
  play.wait(1100);
  await Promise.resolve();
  const key = `poison/${run.upstream}`;
  t.regex(play.records.get(key) ?? '', /"trait":"part:f"/);
  play.survive([FIRST]);
  play.wait(1100);
  await Promise.resolve();
  t.notRegex(play.records.get(key) ?? '', /"trait":"part:f"/);
});

test('an answer without a length after which its upstream leaves the list counts as a crash', (t) => {
  const play = new Play();
  for (let at = 0; at < 3; at += 1) {
    const nowMs = play.clock.nowMs();
    const run = { ...play.run([SECOND]), answerBeganAtMs: nowMs - 50 };
    play.guard.recordEnd({ ...run, endedAtMs: nowMs, hasLength: false });
    play.wait();
    play.guard.upstreamGone(run.upstream);
  }
  t.is(play.verdict([SECOND]), 'poison');
});

test('a convicted part runs as a trial once more, and is barred for good if it crashes again', (t) => {
  const play = new Play();
  play.crash([SECOND], 1, { trial: [] });
  play.crash([SECOND], 2);
  t.is(play.verdict([SECOND]), 'poison');
  play.wait(30_000);
  t.is(play.verdict([SECOND]), 'suspect');
  const request = { traits: [SECOND], entry: 'entry-2' };
  t.true(play.guard.decideTrial({ ...request, isOver: false }));
  play.guard.decideTrial({ ...request, isOver: true });
  t.false(play.guard.decideTrial({ ...request, isOver: false }));
  play.crash([SECOND]);
  play.wait(60_000);
  t.is(play.verdict([SECOND]), 'poison');
});

test('an operator lifts the verdict on a part that a release has mended', (t) => {
  const play = new Play();
  play.crash([SECOND], 4);
  t.is(play.verdict([SECOND]), 'poison');
  t.true(play.guard.lift(SECOND));
  t.is(play.verdict([SECOND]), 'sound');
});

test('a flood of rare parts under crashes leaves the verdict on a deadly one', (t) => {
  const play = new Play();
  play.crash([SECOND], 4);
  for (let at = 0; at < 3000; at += 1) {
    play.guard.recordCrash(play.run([`part:x${at}` as TraitId], { trial: [] }));
  }
  t.is(play.verdict([SECOND]), 'poison');
  t.true(play.guard.list().length <= 4000);
});
