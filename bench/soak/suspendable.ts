import { FailureError } from '../../src/base/index.js';

/**
 * Runs a program so that SIGSTOP looks like a suspension of its host: the monotonic clock and the timers do not
 * advance while it is stopped, but the clock that counts from boot and the time of day do.
 * Usage: `node suspendable.js PROGRAM [DEFECT]`.
 */
const [, , program = '', defect = 'none'] = process.argv;

/** A longer gap between two checks counts as a suspension; load alone does not cause such a gap. */
const SUSPENSION_GAP_MS = 150;
const CHECK_EVERY_MS = 20;

const realNow = performance.now.bind(performance);
const realSetTimeout = globalThis.setTimeout;
const realClearTimeout = globalThis.clearTimeout;
let heldMs = 0;
let checkedAtMs = realNow();

/** Returns how long the host has been suspended in total. */
function held(): number {
  const nowMs = realNow();
  const gapMs = nowMs - checkedAtMs;
  if (gapMs > SUSPENSION_GAP_MS) heldMs += gapMs;
  checkedAtMs = nowMs;
  return heldMs;
}

/** Timers that were set again to make up for a suspension, by the timer that their owner holds. */
const later = new WeakMap<object, NodeJS.Timeout>();

function setSuspendedTimeout(
  act: (...args: unknown[]) => void,
  delayMs?: number,
  ...args: unknown[]
) {
  let from = held();
  const timer = realSetTimeout(function fire() {
    const owedMs = held() - from;
    from = heldMs;
    if (owedMs > 0) later.set(timer, realSetTimeout(fire, owedMs));
    else act(...args);
  }, delayMs);
  return timer;
}

function clearSuspendedTimeout(timer: NodeJS.Timeout | undefined): void {
  if (typeof timer === 'object') realClearTimeout(later.get(timer));
  realClearTimeout(timer);
}

setInterval(held, CHECK_EVERY_MS).unref();
performance.now = () => {
  const pausedMs = held();
  return realNow() - pausedMs;
};
globalThis.setTimeout = setSuspendedTimeout as never;
globalThis.clearTimeout = clearSuspendedTimeout as never;

if (defect === 'steady-clock') {
  // The program reads the clock that counts suspensions through the C library; without it, it falls back to the
  // monotonic clock.
  process.dlopen = () => {
    throw new FailureError({
      type: 'library-refused',
      detail: 'The C library is not loaded: the steady-clock defect is on.',
    });
  };
}
await import(program);
