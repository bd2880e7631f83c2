import { setTimeout as wait } from 'node:timers/promises';

const MS_PER_SECOND = 1000;

/** Calls `act` at a fixed rate without waiting for earlier calls, then waits for all calls to finish. */
export async function callAtRate(
  perSecond: number,
  seconds: number,
  act: (index: number) => Promise<void>,
): Promise<void> {
  const startMs = performance.now();
  const calls: Promise<void>[] = [];
  for (let index = 0; index < perSecond * seconds; index += 1) {
    const dueMs = startMs + (index * MS_PER_SECOND) / perSecond;
    const leftMs = dueMs - performance.now();
    if (leftMs > 0) await wait(leftMs);
    calls.push(act(index));
  }
  await Promise.all(calls);
}
