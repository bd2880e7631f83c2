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

/** Prints the port, waits for SIGTERM or SIGINT and drains the daemon. A second signal skips the rest of the drain. */
export async function runUntilStopped(daemon: Daemon): Promise<void> {
  process.stdout.write(`${JSON.stringify({ port: daemon.port, pid: process.pid })}\n`);
  await new Promise<void>((resolve) => {
    onSignal(resolve);
  });
  onSignal(() => daemon.expire());
  await daemon.stop();
  process.exit(0);
}
