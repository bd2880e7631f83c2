import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import type { Clock, Ms } from '../../src/base/index.js';
import { normalise } from '../../src/core/text/index.js';
import type { Attempt } from './attempt.js';
import { findViolations } from './findviolations.js';
import { operate } from './operator.js';
import { raceStores } from './racestore.js';
import type { RaceOptions } from './raceoptions.js';
import { truth } from './truth.js';

const EXAMPLE = join(import.meta.dirname, '../../../examples/reenvio-norte/padron.jsonc');
/** Late writes that arrive after the last operator has gone. */
const AFTERMATH_MS = 10_000;

/** What came of a race. */
interface RaceReport {
  /** How many attempts were told what. */
  readonly told: Readonly<Record<string, number>>;
  readonly takenByStore: number;
  readonly storeReads: number;
  readonly storeWrites: number;
  readonly violations: readonly string[];
}

function pause(clock: Clock, delayMs: Ms): Promise<void> {
  return new Promise((resolve) => {
    clock.after(delayMs, resolve);
  });
}

/** Runs operators against one store. In virtual time, the same options give the same report. */
export async function race(options: RaceOptions): Promise<RaceReport> {
  const { seed, via = 'memory' } = options;
  const { store, behind, clock, run, close } = await raceStores[via]({ seed, ...options.faults });
  const attempts: Attempt[] = [];
  const firstText = normalise(readFileSync(EXAMPLE, 'utf8'));
  const operators = Array.from({ length: options.operators }, (_, index) => {
    const desk = { name: `operator-${index}`, store, clock, attempts, firstText };
    return operate(desk, options, index);
  });
  await run(Promise.all(operators));
  await run(pause(clock, options.faults.lateWriteMs ? AFTERMATH_MS : 0));
  await close();
  const told: Record<string, number> = {};
  for (const attempt of attempts) told[attempt.told] = (told[attempt.told] ?? 0) + 1;
  const taken = truth(behind.model);
  return {
    told,
    takenByStore: taken.length,
    storeReads: behind.meter.taken.read,
    storeWrites: behind.meter.taken.write,
    violations: findViolations(attempts, taken),
  };
}
