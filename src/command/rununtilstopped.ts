/** A daemon running in this process. */
interface Daemon {
  readonly port: number;
  /** Finishes requests in flight, within the drain timeout of the settings, and closes. */
  stop(): Promise<void>;
  /** Ends a pending `stop` without waiting for requests in flight. */
  expire(): void;
}

const SIGNALS = ['SIGTERM', 'SIGINT'] as const;

function onSignal(act: () => void): void {
  for (const signal of SIGNALS) process.on(signal, act);
}

/**
 * Starts a daemon, prints its port, waits for SIGTERM or SIGINT and drains the daemon. A further signal during the drain
 * skips the rest of it. A signal during the start takes effect after it: the daemon may have accepted requests by then.
 */
export async function runUntilStopped(start: () => Promise<Daemon>): Promise<void> {
  const stopped = new Promise<void>((resolve) => {
    onSignal(resolve);
  });
  const daemon = await start();
  process.stdout.write(`${JSON.stringify({ port: daemon.port, pid: process.pid })}\n`);
  await stopped;
  onSignal(() => daemon.expire());
  await daemon.stop();
  process.exit(0);
}
