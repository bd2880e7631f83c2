import type { Serving } from '../../src/direct/serving.js';

const ignore = () => {};
const COUNTERS = [
  'answered',
  'arrived',
  'waiting',
  'began',
  'left',
  'attempted',
  'ejected',
  'received',
  'streamBroke',
  'ended',
  'takenUp',
  'refused',
  'refusedFull',
];

/** Parts of an entry that a test has to give. */
type Given = 'clock' | 'fleet' | 'budgetOf' | 'link' | 'decideAccess' | 'waitForTarget';

/** Returns an entry's serving parts for a run in virtual time; what is not given counts, logs and refuses nothing. */
export function fakeServing(given: Pick<Serving, Given> & Partial<Serving>): Serving {
  const partial: Partial<Serving> = {
    log: { info: ignore, warn: ignore, error: ignore },
    poison: { isIdle: true, answered: ignore, recordCrash: ignore } as never,
    gate: { onAnswer: ignore } as never,
    waitline: { wakeAt: ignore } as never,
    table: { services: new Map() } as never,
    mayWait: true,
    fitsStop: () => true,
    listAgeMs: () => 0,
    connectionLimit: () => 100,
    lackedConnection() {},
    isReturn: () => false,
    ...given,
  };
  const ignored = Object.fromEntries(COUNTERS.map((name) => [name, ignore]));
  return { ...ignored, ...partial } as Serving;
}
