import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import type { Clock, Ms } from '../../src/base/index.js';
import { normalise } from '../../src/core/text/index.js';
import type { Attempt } from './attempt.js';
import { findViolations } from './findviolations.js';
import { runOperator } from './runoperator.js';
import { raceStores } from './racestore.js';
import type { RaceOptions } from './raceoptions.js';
import { acceptedChanges } from './acceptedchanges.js';

const EXAMPLE = join(import.meta.dirname, '../../../examples/reenvio-norte/padron.jsonc');
/** Wait after the last operator has finished, so that late writes still reach the store. */
const LATE_WRITE_WAIT_MS = 10_000;

interface RaceReport {
  /** Number of attempts by the outcome reported to the operator. */
  readonly told: Readonly<Record<string, number>>;
  readonly takenByStore: number;
  readonly storeReads: number;
  readonly storeWrites: number;
  readonly violations: readonly string[];
}

function wait(clock: Clock, delayMs: Ms): Promise<void> {
  return new Promise((resolve) => {
    clock.after(delayMs, resolve);
  });
}

/** Runs concurrent operators against one store. In virtual time, equal options give equal reports. */
export async function race(options: RaceOptions): Promise<RaceReport> {
  const { seed, via = 'memory' } = options;
  const { store, memoryStore, clock, run, close } = await raceStores[via]({
    seed,
    ...options.faults,
  });
  const attempts: Attempt[] = [];
  const firstText = normalise(readFileSync(EXAMPLE, 'utf8'));
  const operators = Array.from({ length: options.operators }, (_, index) => {
    const context = { name: `operator-${index}`, store, clock, attempts, firstText };
    return runOperator(context, options, index);
  });
  await run(Promise.all(operators));
  await run(wait(clock, options.faults.lateWriteMs ? LATE_WRITE_WAIT_MS : 0));
  await close();
  const counts: Record<string, number> = {};
  for (const attempt of attempts) counts[attempt.outcome] = (counts[attempt.outcome] ?? 0) + 1;
  const taken = acceptedChanges(memoryStore.model);
  return {
    told: counts,
    takenByStore: taken.length,
    storeReads: memoryStore.meter.taken.read,
    storeWrites: memoryStore.meter.taken.write,
    violations: findViolations(attempts, taken),
  };
}
