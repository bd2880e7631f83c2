import { createServer } from 'node:net';

/**
 * Ports below those that the system gives to whoever asks for any: such a one was taken by another process between
 * its choice and its use, seen as EADDRINUSE of a port of the system's own range beside busy processes.
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

/** A port of the loopback that is free, from a range of this process's own. */
export async function freePort(): Promise<number> {
  const first = FIRST_PORT + (process.pid % PROCESSES) * PORTS_A_PROCESS;
  for (;;) {
    const port = first + (next % PORTS_A_PROCESS);
    next += 1;
    if (await isFree(port)) return port;
  }
}
