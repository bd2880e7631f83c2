import test from 'ava';
import { HostClock, type TimeSource } from '../src/shell/clock/index.js';

const HOUR_MS = 3_600_000;

/** A host that can be suspended: its steady clock excludes suspended time, the other clocks include it. */
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

test('suspended time counts at once, and overdue timers fire when the host resumes', async (t) => {
  const host = new Host();
  const resumes: number[] = [];
  const clock = new HostClock(host, (suspendedMs) => resumes.push(suspendedMs));
  const startedMs = clock.nowMs();
  const timer = fired(clock, HOUR_MS);
  host.suspend(HOUR_MS);
  t.true(clock.nowMs() - startedMs >= HOUR_MS);
  await timer;
  t.is(resumes.length, 1);
  t.true(Math.abs(resumes[0]! - HOUR_MS) < 1);
  clock.close();
});

test('timers that were cancelled or are not due do not fire after a suspension', async (t) => {
  const host = new Host();
  const clock = new HostClock(host, () => {});
  const firedNames: string[] = [];
  const cancelFirst = clock.after(HOUR_MS, () => firedNames.push('cancelled'));
  const cancelSecond = clock.after(3 * HOUR_MS, () => firedNames.push('not due'));
  cancelFirst();
  const due = fired(clock, HOUR_MS);
  host.suspend(HOUR_MS);
  await due;
  t.deepEqual(firedNames, []);
  cancelSecond();
  clock.close();
});

test('a step of the wall clock does not count as a suspension', async (t) => {
  const host = new Host();
  const resumes: number[] = [];
  let wallMs = HOUR_MS;
  const stepping: TimeSource = {
    steadyMs: () => host.steadyMs(),
    boottimeMs: () => host.boottimeMs(),
    wallMs: () => wallMs,
  };
  const clock = new HostClock(stepping, (ms) => resumes.push(ms));
  const startedMs = clock.nowMs();
  wallMs += HOUR_MS;
  await fired(clock, 120);
  t.true(clock.nowMs() - startedMs < HOUR_MS);
  t.deepEqual(resumes, []);
  clock.close();
});
