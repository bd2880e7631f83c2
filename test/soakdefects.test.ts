import test from 'ava';
import { runSoak } from './support/runsoak.js';

const FOR_S = 2.5;

interface Planted {
  readonly promise: string;
  /** Faults without which the defect does not show. */
  readonly faultNames: readonly string[];
  /** Longer where a bound has to run out first. */
  readonly forS?: number;
  readonly gapMs?: number;
  /** With requests that end their servers. */
  readonly isHarsh?: boolean;
  /** With customers and keys. */
  readonly isKeyed?: boolean;
}

/** A planted defect for each promise that the soak looks at. */
const DEFECTS: Readonly<Record<string, Planted>> = {
  twice: { promise: 'runs once at most', faultNames: ['hangUp'] },
  'false-refusal': { promise: '"not run" is true', faultNames: ['hangUp'] },
  unsigned: { promise: 'answers are servers', faultNames: ['hangUp'] },
  mixed: { promise: 'answers are whole', faultNames: ['hangUp'] },
  short: { promise: 'answers are whole', faultNames: ['hangUp'] },
  skipped: { promise: 'answers are in order', faultNames: ['hangUp'] },
  hang: { promise: 'every request is answered in its time', faultNames: ['hangUp'] },
  exits: { promise: 'no process ends by itself', faultNames: ['hangUp'] },
  limit: { promise: 'memory is never overcommitted', faultNames: ['hangUp'] },
  holders: { promise: 'orders have one holder at a time', faultNames: ['hangUp'] },
  revert: { promise: 'a configuration never reverts', faultNames: ['configure'] },
  stale: {
    promise: 'a configuration is in force in seconds',
    faultNames: ['configure'],
    forS: 8,
    gapMs: 3000,
  },
  drain: {
    promise: 'a leaving server gets no new work',
    faultNames: ['replaceServer'],
    forS: 7,
  },
  cut: {
    promise: 'no planned stop cuts a request',
    faultNames: ['stop', 'slowDown'],
    forS: 7,
    gapMs: 300,
  },
  'sends-on': {
    promise: 'a request that ends servers is not sent on',
    faultNames: ['hangUp'],
    forS: 25,
    gapMs: 3000,
    isHarsh: true,
  },
  forged: { promise: 'a request is named by its key', faultNames: ['hangUp'], isKeyed: true },
  'keeps-keys': {
    promise: 'a removed key is refused in seconds',
    faultNames: ['configure'],
    forS: 10,
    gapMs: 1500,
    isKeyed: true,
  },
  'own-quota': {
    promise: 'a limit holds over all entries',
    faultNames: ['hangUp'],
    forS: 6,
    isKeyed: true,
  },
  'whole-limit': {
    promise: 'a limit of a server holds over all entries',
    faultNames: ['nameLimit'],
    forS: 9,
    gapMs: 3000,
  },
  wiped: {
    promise: 'a server that says it leaves gets nothing more',
    faultNames: ['leaveUnlisted'],
    forS: 8,
    gapMs: 4000,
  },
  'pause-last': {
    promise: 'a server that wants a pause is left alone',
    faultNames: ['wantPause'],
    forS: 8,
    gapMs: 300,
  },
  gone: { promise: 'work ends when its caller leaves', faultNames: ['silence'], gapMs: 200 },
};

for (const [defect, planted] of Object.entries(DEFECTS)) {
  const { promise, faultNames, forS = FOR_S, gapMs = 900, isHarsh = false } = planted;
  const { isKeyed = false } = planted;
  test.serial(`the soak finds the planted defect ${defect}`, async (t) => {
    const { breaches, asked, answered, faults } = await runSoak(
      ...['--seed', '7', '--for', String(forS), '--gap', String(gapMs)],
      ...['--defect', defect, '--faults', faultNames.join(',')],
      ...(isHarsh ? ['--harsh'] : []),
      ...(isKeyed ? ['--keyed'] : []),
    );
    const isFound = breaches.some((breach) => breach.promise === promise);
    t.true(isFound, JSON.stringify({ asked, answered, faults, breaches: breaches.slice(0, 5) }));
  });
}
