import { setTimeout as wait } from 'node:timers/promises';
import type { Deployment } from './deployment.js';
import { runLoad } from './load/runload.js';
import { schedule } from './load/schedule.js';
import { tally, type Tally } from './load/tally.js';
import { Stack } from './stack.js';

const SEED = 20_260;
const LOAD_MS = 11_000;
const REQUESTS = 500;
const KILL_AT_MS = 2500;
const DOWN_MS = 700;
const DRAIN_AT_MS = 8000;

/** Counts of a load, and the exit codes of the planned stops. */
interface ScenarioResult extends Tally {
  readonly exitCodes: readonly (number | null)[];
}

/** Kills one sidecar during the load, later drains an engine, and returns the exit code of the engine's sidecar. */
async function injectFailures(stack: Stack): Promise<number | null> {
  const [first = '', second = ''] = stack.upstreams;
  const plain = stack.upstreams.at(-1) ?? '';
  await wait(KILL_AT_MS);
  await stack.crashSidecar(stack.deployment.sidecarToKill === 'engine' ? first : plain, DOWN_MS);
  await wait(DRAIN_AT_MS - KILL_AT_MS - DOWN_MS);
  return stack.drain(second);
}

/** Runs a deployment under its load, from the start of its processes to their planned stop. */
export async function runScenario(deployment: Deployment): Promise<ScenarioResult> {
  const stack = new Stack(deployment);
  await stack.start();
  const planned = schedule(SEED, deployment.name, LOAD_MS, REQUESTS);
  const [records, drained] = await Promise.all([runLoad(stack, planned), injectFailures(stack)]);
  const stopped = await stack.stop();
  return { ...tally(records, stack.standIns), exitCodes: [drained, ...stopped] };
}
