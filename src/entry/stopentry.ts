import { refuse } from '../core/refusal/index.js';
import { afterReads } from '../shell/loop/index.js';
import { Executed } from '../wire/index.js';
import type { Desk } from './desk.js';
import type { createListener } from './listener.js';

type Listener = ReturnType<typeof createListener>;

const CLOSE_IDLE_EVERY_MS = 20;
const TYPED_END_WITHIN_MS = 500;

/** Gives everything in flight a typed end now. */
function expire({ runs }: Desk): void {
  const options = { executed: Executed.EXECUTED_UNKNOWN };
  for (const run of runs) {
    run.expire(refuse('entry-leaving', 'This entry stopped before the answer was whole.', options));
  }
}

/**
 * Closes the listener. Connections that callers keep open are closed as soon as they are idle. Both wait for what has
 * arrived to be read: a connection that is not accepted yet, or is closed with unread bytes, would be reset.
 */
function close({ clock }: Desk, { server, connections }: Listener): Promise<void> {
  return new Promise((resolve) => {
    let isClosed = false;
    let forget = () => {};
    const closeUnusedSoon = () => {
      if (isClosed) return;
      forget = clock.after(CLOSE_IDLE_EVERY_MS, () => {
        afterReads(clock, () => {
          connections.closeUnused();
          closeUnusedSoon();
        });
      });
    };
    afterReads(clock, () => {
      server.close(() => {
        isClosed = true;
        forget();
        resolve();
      });
      closeUnusedSoon();
    });
  });
}

/** Refuses new work, finishes what is in flight within the bound, and closes the listener. */
async function stop(desk: Desk, listener: Listener): Promise<void> {
  const { gate, clock, log, settings } = desk;
  log.info('stopping', { inFlight: gate.inFlight() });
  desk.planner.stop();
  const idle = gate.close();
  const forgetBound = clock.after(settings.drainTimeoutMs, () => expire(desk));
  // A caller that does not take its answer, or its typed end, is given up.
  const cutMs = settings.drainTimeoutMs + TYPED_END_WITHIN_MS;
  const forgetCut = clock.after(cutMs, () => listener.server.closeAllConnections());
  await idle;
  forgetBound();
  await close(desk, listener);
  forgetCut();
  desk.router.close();
  desk.link.close();
  log.info('stopped');
}

/** How an entry is stopped: as planned, or at once. */
export const stopEntry = { stop, expire };
