import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { VirtualClock } from '../../src/base/index.js';
import { normalise } from '../../src/core/text/index.js';
import { MemoryStore } from '../../standin/index.js';
import type { Attempt } from './attempt.js';
import { findViolations } from './findviolations.js';
import { operate } from './operator.js';
import type { RaceOptions } from './raceoptions.js';
import { truth } from './truth.js';

const EXAMPLE = join(import.meta.dirname, '../../../examples/reenvio-norte/padron.jsonc');
const STEP_MS = 5;
/** Time for late writes to arrive after the last operator has gone. */
const AFTERMATH_MS = 10_000;
const UNLIMITED = Number.MAX_SAFE_INTEGER;

/** What came of a race. */
interface RaceReport {
  /** How many attempts were told what. */
  readonly told: Readonly<Record<string, number>>;
  readonly takenByStore: number;
  readonly storeReads: number;
  readonly storeWrites: number;
  readonly violations: readonly string[];
}

function settled(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Moves the clock in small steps until the work is done. */
async function advanceUntil(work: Promise<unknown>, clock: VirtualClock): Promise<void> {
  let done = false;
  const ended = work.finally(() => {
    done = true;
  });
  const isDone = () => done;
  while (!isDone()) {
    clock.advanceTo(clock.nowMs() + STEP_MS);
    await settled();
  }
  await ended;
}

/** Runs operators against one stand-in store in virtual time. The same options give the same report. */
export async function race(options: RaceOptions): Promise<RaceReport> {
  const clock = new VirtualClock();
  const store = new MemoryStore({
    clock,
    faults: { seed: options.seed, ...options.faults },
    readsPerSecond: UNLIMITED,
    writesPerSecond: UNLIMITED,
  });
  const attempts: Attempt[] = [];
  const firstText = normalise(readFileSync(EXAMPLE, 'utf8'));
  const operators = Array.from({ length: options.operators }, (_, index) => {
    const desk = { name: `operator-${index}`, store, clock, attempts, firstText };
    return operate(desk, options, index);
  });
  await advanceUntil(Promise.all(operators), clock);
  clock.advanceTo(clock.nowMs() + AFTERMATH_MS);
  const told: Record<string, number> = {};
  for (const attempt of attempts) told[attempt.told] = (told[attempt.told] ?? 0) + 1;
  const taken = truth(store.model);
  return {
    told,
    takenByStore: taken.length,
    storeReads: store.meter.taken.read,
    storeWrites: store.meter.taken.write,
    violations: findViolations(attempts, taken),
  };
}
