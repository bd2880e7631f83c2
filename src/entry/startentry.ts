import type { Server } from 'node:http';
import { createApp } from './createapp.js';
import { createDesk } from './createdesk.js';
import type { Desk } from './desk.js';
import type { EntrySettings } from './entrysettings.js';
import { createListener } from './listener.js';
import { openMesh } from './openmesh.js';
import { stopEntry } from './stopentry.js';

/** How often requests in flight are looked over for what stands still. */
const SWEEP_MS = 1000;

/** A running entry. */
interface Entry {
  /** Port of the callers' listener. */
  readonly port: number;
  /** Refuses new work, waits for what is in flight (bound in settings), and closes. */
  stop(): Promise<void>;
  /** Gives what is still in flight a typed end at once. */
  expire(): void;
}

function sweepOften(desk: Desk): () => void {
  let forget = () => {};
  const again = () => {
    const nowMs = desk.clock.nowMs();
    for (const run of desk.runs) run.sweep(nowMs);
    desk.metrics.gauge('in_flight', desk.gate.inFlight());
    forget = desk.clock.after(SWEEP_MS, again);
  };
  forget = desk.clock.after(SWEEP_MS, again);
  return () => forget();
}

async function listen(server: Server, { host, port }: EntrySettings['listen']): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return (server.address() as { port: number }).port;
}

/** Starts an entry: callers' HTTP on one side, sidecars on the other. */
export async function startEntry(settings: EntrySettings): Promise<Entry> {
  const desk = await createDesk(settings);
  const mesh = await openMesh(desk, settings.meshListen);
  const listener = createListener(createApp(desk), desk.limits, settings.tls, desk.log);
  const port = await listen(listener.server, settings.listen);
  const endSweep = sweepOften(desk);
  desk.planner.start();
  desk.log.info('listening', { port });
  let stopped: Promise<void> | undefined;
  const stop = async () => {
    await stopEntry.stop(desk, listener);
    endSweep();
    mesh.close();
    desk.credentials.close();
  };
  return {
    port,
    stop() {
      stopped ??= stop();
      return stopped;
    },
    expire: () => stopEntry.expire(desk),
  };
}
