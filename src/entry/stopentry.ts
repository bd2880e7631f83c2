import type { Server } from 'node:http';
import { refuse } from '../core/refusal/index.js';
import { Executed } from '../wire/index.js';
import type { Desk } from './desk.js';

/** Gives everything in flight a typed end now. */
function expire({ runs }: Desk): void {
  const options = { executed: Executed.EXECUTED_UNKNOWN };
  for (const run of runs) {
    run.expire(refuse('entry-leaving', 'This entry stopped before the answer was whole.', options));
  }
}

/** Refuses new work, finishes what is in flight within the bound, and closes the listener. */
async function stop(desk: Desk, server: Server): Promise<void> {
  const { gate, clock, log, settings } = desk;
  log.info('stopping', { inFlight: gate.inFlight() });
  const idle = gate.close();
  const forget = clock.after(settings.drainTimeoutMs, () => expire(desk));
  await idle;
  forget();
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
  desk.router.close();
  desk.link.close();
  log.info('stopped');
}

/** How an entry is stopped: as planned, or at once. */
export const stopEntry = { stop, expire };
