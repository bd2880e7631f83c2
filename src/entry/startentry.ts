import type { Server } from 'node:http';
import { createApp } from './createapp.js';
import { createEntryContext } from './createentrycontext.js';
import type { EntryContext } from './entrycontext.js';
import type { EntrySettings } from './entrysettings.js';
import { createListener } from './listener.js';
import { openMesh } from './openmesh.js';
import { stopEntry } from './stopentry.js';

/** How often requests in flight are checked for stalls. */
const STALL_CHECK_MS = 1000;

/** A running entry. */
interface Entry {
  /** Port of the listener for callers. */
  readonly port: number;
  /** Refuses new requests, waits for those in flight up to `drainTimeoutMs`, and closes. */
  stop(): Promise<void>;
  /** Ends the requests in flight at once with a refusal. */
  expire(): void;
}

function startStallChecks(context: EntryContext): () => void {
  let cancel = () => {};
  const again = () => {
    const nowMs = context.clock.nowMs();
    for (const run of context.runs) run.checkStall(nowMs);
    context.metrics.gauge('in_flight', context.gate.inFlight());
    cancel = context.clock.after(STALL_CHECK_MS, again);
  };
  cancel = context.clock.after(STALL_CHECK_MS, again);
  return () => cancel();
}

async function listen(server: Server, { host, port }: EntrySettings['listen']): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return (server.address() as { port: number }).port;
}

/** Starts an entry, which accepts HTTP requests of callers and forwards them to sidecars. */
export async function startEntry(settings: EntrySettings): Promise<Entry> {
  const context = await createEntryContext(settings);
  const mesh = await openMesh(context, settings.meshListen);
  const listener = createListener(createApp(context), context, settings.tls);
  const port = await listen(listener.server, settings.listen);
  const stopStallChecks = startStallChecks(context);
  context.planner.start();
  context.log.info('listening', { port });
  let stopped: Promise<void> | undefined;
  const stop = async () => {
    await stopEntry.stop(context, listener);
    stopStallChecks();
    mesh.close();
    context.credentials.close();
  };
  return {
    port,
    stop() {
      stopped ??= stop();
      return stopped;
    },
    expire: () => stopEntry.expire(context),
  };
}
