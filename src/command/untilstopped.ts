/** Prints the port, then waits for SIGTERM or SIGINT and stops the daemon as planned. */
export async function untilStopped(daemon: {
  readonly port: number;
  stop(): Promise<void>;
}): Promise<void> {
  process.stdout.write(`${JSON.stringify({ port: daemon.port, pid: process.pid })}\n`);
  await new Promise<void>((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
  await daemon.stop();
}
