import { Server as NetServer } from 'node:net';
import { refuse } from '../core/refusal/index.js';
import { afterReads } from '../shell/loop/index.js';
import { Executed } from '../wire/index.js';
import type { EntryContext } from './entrycontext.js';
import type { createListener } from './listener.js';

type Listener = ReturnType<typeof createListener>;

const CLOSE_IDLE_EVERY_MS = 20;

/** Time for callers to read the refusal that ends their request, before their connections are closed. */
const REFUSAL_SENT_WITHIN_MS = 500;

/** Ends all requests in flight now with a refusal. */
function expire({ runs }: EntryContext): void {
  const options = { executed: Executed.EXECUTED_UNKNOWN };
  for (const run of runs) {
    run.expire(refuse('entry-leaving', 'This entry stopped before the answer was whole.', options));
  }
}

/**
 * Closes the listener, and keep-alive connections as soon as they are idle. Both steps first let the process read what
 * has arrived: otherwise a connection that is not accepted yet, or that has unread bytes, would be reset.
 */
function close({ clock }: EntryContext, { server, connections }: Listener): Promise<void> {
  return new Promise((resolve) => {
    let isClosed = false;
    let cancel = () => {};
    const closeUnusedSoon = () => {
      if (isClosed) return;
      cancel = clock.after(CLOSE_IDLE_EVERY_MS, () => {
        afterReads(clock, () => {
          connections.closeUnused();
          closeUnusedSoon();
        });
      });
    };
    afterReads(clock, () => {
      server.once('close', () => {
        isClosed = true;
        cancel();
        resolve();
      });
      // The HTTP server's own `close` also destroys connections whose answer has ended and is still being sent.
      NetServer.prototype.close.call(server);
      closeUnusedSoon();
    });
  });
}

/** Refuses new requests, finishes those in flight within `drainTimeoutMs`, and closes the listener. */
async function stop(context: EntryContext, listener: Listener): Promise<void> {
  const { gate, clock, log, settings } = context;
  log.info('stopping', { inFlight: gate.inFlight() });
  context.planner.stop();
  const idle = gate.close();
  const cancelExpiry = clock.after(settings.drainTimeoutMs, () => expire(context));
  // Callers that read neither their answer nor the refusal are disconnected.
  const cutMs = settings.drainTimeoutMs + REFUSAL_SENT_WITHIN_MS;
  const cancelCut = clock.after(cutMs, () => listener.server.closeAllConnections());
  await idle;
  cancelExpiry();
  await close(context, listener);
  cancelCut();
  context.router.close();
  context.link.close();
  log.info('stopped');
}

/** Stops an entry as planned (`stop`) or ends its requests at once (`expire`). */
export const stopEntry = { stop, expire };
