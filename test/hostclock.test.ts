import test from 'ava';
import { HostClock, type TimeSource } from '../src/shell/clock/index.js';

const HOUR_MS = 3_600_000;

/** A host that can be suspended: its steady clock stands still, the others go on. */
class Host implements TimeSource {
  private suspendedMs = 0;

  suspend(ms: number): void {
    this.suspendedMs += ms;
  }

  steadyMs(): number {
    return performance.now();
  }

  boottimeMs(): number {
    return performance.now() + 1_000_000 + this.suspendedMs;
  }

  wallMs(): number {
    return Date.now() + this.suspendedMs;
  }
}

function fired(clock: HostClock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(delayMs, resolve);
  });
}

test('time that the host was suspended counts at once, and its alarms come when it is awake', async (t) => {
  const host = new Host();
  const woke: number[] = [];
  const clock = new HostClock(host, (suspendedMs) => woke.push(suspendedMs));
  const startedMs = clock.nowMs();
  const alarm = fired(clock, HOUR_MS);
  host.suspend(HOUR_MS);
  t.true(clock.nowMs() - startedMs >= HOUR_MS);
  await alarm;
  t.is(woke.length, 1);
  t.true(Math.abs(woke[0]! - HOUR_MS) < 1);
  clock.close();
});

test('alarms that were called off, or are not due, do not come with a suspension', async (t) => {
  const host = new Host();
  const clock = new HostClock(host, () => {});
  const came: string[] = [];
  const callOff = clock.after(HOUR_MS, () => came.push('called off'));
  const forget = clock.after(3 * HOUR_MS, () => came.push('not due'));
  callOff();
  const due = fired(clock, HOUR_MS);
  host.suspend(HOUR_MS);
  await due;
  t.deepEqual(came, []);
  forget();
  clock.close();
});

test('a step of the time of day is no suspension', async (t) => {
  const host = new Host();
  const woke: number[] = [];
  let wallMs = HOUR_MS;
  const stepping: TimeSource = {
    steadyMs: () => host.steadyMs(),
    boottimeMs: () => host.boottimeMs(),
    wallMs: () => wallMs,
  };
  const clock = new HostClock(stepping, (ms) => woke.push(ms));
  const startedMs = clock.nowMs();
  wallMs += HOUR_MS;
  await fired(clock, 120);
  t.true(clock.nowMs() - startedMs < HOUR_MS);
  t.deepEqual(woke, []);
  clock.close();
});
