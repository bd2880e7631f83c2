/** A daemon that runs in this process. */
interface Running {
  readonly port: number;
  /** Finishes what is in flight, within the bound of its settings, and closes. */
  stop(): Promise<void>;
  /** Ends at once what a stop still waits for. */
  expire(): void;
}

const SIGNALS = ['SIGTERM', 'SIGINT'] as const;

function onSignal(act: () => void): void {
  for (const signal of SIGNALS) process.on(signal, act);
}

/** Prints the port, then waits for SIGTERM or SIGINT and stops as planned; a second one hurries it. */
export async function untilStopped(daemon: Running): Promise<void> {
  process.stdout.write(`${JSON.stringify({ port: daemon.port, pid: process.pid })}\n`);
  await new Promise<void>((resolve) => {
    onSignal(resolve);
  });
  onSignal(() => daemon.expire());
  await daemon.stop();
  process.exit(0);
}
