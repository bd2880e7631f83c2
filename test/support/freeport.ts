import { createServer } from 'node:net';

/**
 * Below the system's range of ephemeral ports. On a busy machine another process can take an ephemeral port between
 * its choice and its use, which then fails with EADDRINUSE.
 */
const FIRST_PORT = 10_000;
const PORTS_A_PROCESS = 30;
const PROCESSES = 330;

let next = 0;

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Returns a free loopback port from a range that belongs to this process. */
export async function freePort(): Promise<number> {
  const first = FIRST_PORT + (process.pid % PROCESSES) * PORTS_A_PROCESS;
  for (;;) {
    const port = first + (next % PORTS_A_PROCESS);
    next += 1;
    if (await isFree(port)) return port;
  }
}
