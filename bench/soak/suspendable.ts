import { FailureError } from '../../src/base/index.js';

/**
 * Runs a program so that a stop by signal is a suspension of its host: its steady clock and its timers stand still
 * meanwhile, while the clock that counts from the boot and the time of day go on. It is run as
 * `node suspendable.js PROGRAM [DEFECT]`.
 */
const [, , program = '', defect = 'none'] = process.argv;

/** A gap between two looks that no load explains; a shorter stop is none. */
const LEAST_GAP_MS = 150;
const LOOK_MS = 20;

const realNow = performance.now.bind(performance);
const realSetTimeout = globalThis.setTimeout;
const realClearTimeout = globalThis.clearTimeout;
let heldMs = 0;
let lookedAtMs = realNow();

/** How long the host has been suspended so far. */
function held(): number {
  const nowMs = realNow();
  const gapMs = nowMs - lookedAtMs;
  if (gapMs > LEAST_GAP_MS) heldMs += gapMs;
  lookedAtMs = nowMs;
  return heldMs;
}

/** Timers that were set again for the time that they were held up, by the one that their owner knows. */
const later = new WeakMap<object, NodeJS.Timeout>();

function setHeldTimeout(act: (...args: unknown[]) => void, delayMs?: number, ...args: unknown[]) {
  let from = held();
  const timer = realSetTimeout(function fire() {
    const owedMs = held() - from;
    from = heldMs;
    if (owedMs > 0) later.set(timer, realSetTimeout(fire, owedMs));
    else act(...args);
  }, delayMs);
  return timer;
}

function clearHeldTimeout(timer: NodeJS.Timeout | undefined): void {
  if (typeof timer === 'object') realClearTimeout(later.get(timer));
  realClearTimeout(timer);
}

setInterval(held, LOOK_MS).unref();
performance.now = () => {
  const byNowMs = held();
  return realNow() - byNowMs;
};
globalThis.setTimeout = setHeldTimeout as never;
globalThis.clearTimeout = clearHeldTimeout as never;

if (defect === 'steady-clock') {
  // Without the C library there is no clock that counts suspension: the program goes by the steady one.
  process.dlopen = () => {
    throw new FailureError({ type: 'library-refused', detail: 'No library is opened.' });
  };
}
await import(program);
