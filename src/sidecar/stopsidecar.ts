import type { Server } from '@grpc/grpc-js';
import type { RequestRunner } from './requestrunner.js';
import type { Exchanges } from './exchanges.js';
import type { CacheHandOver } from './handover/index.js';
import type { Context } from './part/index.js';
import type { Parts } from './parts.js';

/** Time for entries to end their streams after the last request; then the server is shut down by force. */
const CLOSE_TIMEOUT_MS = 1000;

/** Parts of the sidecar that a planned stop acts on. */
interface StopOptions {
  readonly context: Context;
  readonly parts: Parts;
  readonly runner: RequestRunner;
  readonly handOver: CacheHandOver;
  readonly exchanges: Exchanges;
  readonly server: Server;
}

/**
 * Refuses new requests and waits up to `drainTimeoutMs` for those in flight. Hands the KV caches of the remaining
 * streams over to other sidecars, and closes the listener.
 */
export async function stopSidecar(stopping: StopOptions): Promise<void> {
  const { context, parts, runner, handOver, exchanges, server } = stopping;
  context.log.info('stopping', { inFlight: runner.inFlight() });
  parts.residency.leave?.();
  parts.runOnce.leave();
  const idle = runner.drain();
  exchanges.leave();
  const cancelTimeout = context.clock.after(context.settings.drainTimeoutMs, () =>
    runner.expire((sessions) => handOver.begin(sessions)),
  );
  await idle;
  cancelTimeout();
  await parts.residency.stop?.();
  await parts.runOnce.stop();
  const cancelShutdown = context.clock.after(CLOSE_TIMEOUT_MS, () => server.forceShutdown());
  await new Promise<void>((resolve) => {
    server.tryShutdown(() => resolve());
  });
  cancelShutdown();
  context.log.info('stopped');
}
