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
const BLOW_AT_MS = 600;
const DOWN_MS = 300;
const PAUSE_MS = 900;
/** Longer than a confirmation's deadline. */
const FREEZE_MS = 4600;
const SEED = 41;

/** Kills a sidecar and starts it anew. */
async function kill(stack: Stack, upstream: string): Promise<void> {
  await stack.crashSidecar(upstream, DOWN_MS);
}

/** Stops a sidecar for a while and lets it go on, as a paused host would. */
async function pause(stack: Stack, upstream: string, forMs: number): Promise<void> {
  stack.sidecar(upstream).signal('SIGSTOP');
  await wait(forMs);
  stack.sidecar(upstream).signal('SIGCONT');
}

const BLOWS = {
  kill,
  pause: (stack: Stack, upstream: string) => pause(stack, upstream, PAUSE_MS),
  freeze: (stack: Stack, upstream: string) => pause(stack, upstream, FREEZE_MS),
} as const;

/** What happens to a sidecar in turn. */
const TURNS = ['kill', 'pause', 'kill', 'pause', 'kill', 'freeze'] as const;

async function playRound(stack: Stack, round: number) {
  const blow = TURNS[round % TURNS.length] ?? 'kill';
  const upstream = stack.upstreams[round % stack.upstreams.length] ?? '';
  const planned = schedule(SEED + round, `round-${round}`, ROUND_MS, REQUESTS_PER_ROUND);
  const confirmations = planned.map((one) => ({ ...one, type: 'confirm' as const }));
  const blown = wait(BLOW_AT_MS).then(() => BLOWS[blow](stack, upstream));
  const [records] = await Promise.all([runLoad(stack, confirmations), blown]);
  return { blow, records };
}

/**
 * Real processes, 2 entries and 3 sidecars before plain services: a sidecar is killed, paused or frozen
 * past the deadline in each of twenty rounds of confirmations that may not be repeated. The services count what ran.
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
  const rounds: Awaited<ReturnType<typeof playRound>>[] = [];
  for (let round = 0; round < ROUNDS; round += 1) rounds.push(await playRound(stack, round));
  const exitCodes = await stack.stop();
  const all = tally(
    rounds.flatMap(({ records }) => records),
    stack.standIns,
  );
  const byBlow = (blow: keyof typeof BLOWS) => {
    const struck = rounds.filter((round) => round.blow === blow);
    const { asked, answered, refused, unknown, reasons } = tally(
      struck.flatMap(({ records }) => records),
      stack.standIns,
    );
    return { rounds: struck.length, asked, answered, refused, unknown, reasons };
  };
  const { asked, answered, refused, unknown, lost, doubled, cut, falseNotRun } = all;
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
    kill: byBlow('kill'),
    pause: byBlow('pause'),
    freeze: byBlow('freeze'),
    exitCodes,
  };
};
