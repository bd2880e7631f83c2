import { setTimeout as wait } from 'node:timers/promises';
import { deployments } from '../demo/deployments.js';
import { runLoad } from '../demo/load/runload.js';
import { schedule } from '../demo/load/schedule.js';
import { tally } from '../demo/load/tally.js';
import { Stack } from '../demo/stack.js';
import type { Bench } from './bench.js';

const ROUNDS = 20;
const ROUND_MS = 2400;
const REQUESTS_PER_ROUND = 120;
const SERVICE_MS = 100;
const FAULT_AT_MS = 600;
const DOWN_MS = 300;
const PAUSE_MS = 900;
/** Longer than the deadline of a confirmation. */
const FREEZE_MS = 4600;
const SEED = 41;

/** Kills a sidecar and restarts it. */
async function kill(stack: Stack, upstream: string): Promise<void> {
  await stack.crashSidecar(upstream, DOWN_MS);
}

/** Suspends a sidecar's process for `forMs`, like the suspension of its host. */
async function pause(stack: Stack, upstream: string, forMs: number): Promise<void> {
  stack.sidecar(upstream).signal('SIGSTOP');
  await wait(forMs);
  stack.sidecar(upstream).signal('SIGCONT');
}

const FAULTS = {
  kill,
  pause: (stack: Stack, upstream: string) => pause(stack, upstream, PAUSE_MS),
  freeze: (stack: Stack, upstream: string) => pause(stack, upstream, FREEZE_MS),
} as const;

/** Faults of successive rounds, repeated in this order. */
const FAULT_SEQUENCE = ['kill', 'pause', 'kill', 'pause', 'kill', 'freeze'] as const;

async function runRound(stack: Stack, round: number) {
  const fault = FAULT_SEQUENCE[round % FAULT_SEQUENCE.length] ?? 'kill';
  const upstream = stack.upstreams[round % stack.upstreams.length] ?? '';
  const requests = schedule(SEED + round, `round-${round}`, ROUND_MS, REQUESTS_PER_ROUND);
  const confirmations = requests.map((request) => ({ ...request, type: 'confirm' as const }));
  const faultDone = wait(FAULT_AT_MS).then(() => FAULTS[fault](stack, upstream));
  const [records] = await Promise.all([runLoad(stack, confirmations), faultDone]);
  return { fault, records };
}

/**
 * Runs 2 entries and 3 sidecars as processes in front of plain services. In each of 20 rounds of non-repeatable
 * confirmations, one sidecar is killed, paused, or frozen beyond the deadline. The services count the requests
 * that they executed.
 */
export const killRounds: Bench = async () => {
  const stack = new Stack({
    ...deployments[0],
    engineCount: 0,
    plainCount: 3,
    serviceMs: SERVICE_MS,
    hasFaults: false,
  });
  await stack.start();
  const rounds: Awaited<ReturnType<typeof runRound>>[] = [];
  for (let round = 0; round < ROUNDS; round += 1) rounds.push(await runRound(stack, round));
  const exitCodes = await stack.stop();
  const total = tally(
    rounds.flatMap(({ records }) => records),
    stack.standIns,
  );
  const resultsOf = (fault: keyof typeof FAULTS) => {
    const selected = rounds.filter((round) => round.fault === fault);
    const { asked, answered, refused, unknown, reasons } = tally(
      selected.flatMap(({ records }) => records),
      stack.standIns,
    );
    return { rounds: selected.length, asked, answered, refused, unknown, reasons };
  };
  const { asked, answered, refused, unknown, lost, doubled, cut, falseNotRun } = total;
  return {
    rounds: ROUNDS,
    asked,
    answered,
    refused,
    unknown,
    unknownShare: unknown / asked,
    lost,
    doubled,
    cut,
    falseNotRun,
    kill: resultsOf('kill'),
    pause: resultsOf('pause'),
    freeze: resultsOf('freeze'),
    exitCodes,
  };
};
