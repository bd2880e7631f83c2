import type { Server } from '@grpc/grpc-js';
import type { Door } from './door.js';
import type { Exchanges } from './exchanges.js';
import type { CacheHandOver } from './handover/index.js';
import type { Context } from './part/index.js';
import type { Parts } from './parts.js';

/** Time for entries to end their streams once nothing is in flight. */
const CLOSE_WITHIN_MS = 1000;

/** What a planned stop touches. */
interface Stopping {
  readonly context: Context;
  readonly parts: Parts;
  readonly door: Door;
  readonly handOver: CacheHandOver;
  readonly exchanges: Exchanges;
  readonly server: Server;
}

/**
 * Refuses new work, finishes what is in flight within the bound, hands the KV caches of what is then left
 * to other sidecars, and closes the listener.
 */
export async function stopSidecar(stopping: Stopping): Promise<void> {
  const { context, parts, door, handOver, exchanges, server } = stopping;
  context.log.info('stopping', { inFlight: door.inFlight() });
  parts.residency.leave?.();
  parts.runOnce.leave();
  const idle = door.drain();
  exchanges.leave();
  const forget = context.clock.after(context.settings.drainTimeoutMs, () =>
    door.expire((sessions) => handOver.begin(sessions)),
  );
  await idle;
  forget();
  await parts.residency.stop?.();
  await parts.runOnce.stop();
  const force = context.clock.after(CLOSE_WITHIN_MS, () => server.forceShutdown());
  await new Promise<void>((resolve) => {
    server.tryShutdown(() => resolve());
  });
  force();
  context.log.info('stopped');
}
