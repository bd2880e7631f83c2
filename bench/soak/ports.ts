import { createServer, type Server } from 'node:net';

/** A range of ports. */
interface PortRange {
  readonly first: number;
  readonly count: number;
  /** Ports that one process takes for itself; its programs have fewer. */
  readonly countPerProcess: number;
}

function listen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.on('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

async function isFree(port: number): Promise<boolean> {
  const server = await listen(port);
  server?.close();
  return server !== undefined;
}

/**
 * Allocates free loopback ports, each one only once. A program that has not started yet does not listen on its port,
 * so a check for listeners is not enough: two entries with the same port would leave the second unable to start. A part
 * of the range belongs to the process that listens on its first port.
 */
export class Ports {
  private readonly allocated = new Set<number>();

  /** First port of the part that belongs to this process. */
  private own: Promise<number> | undefined;

  private claimed: Server | undefined;

  constructor(private readonly range: PortRange) {}

  /** Gives the part back; a process that runs many deployments in turn would otherwise take all parts. */
  close(): void {
    this.claimed?.close();
  }

  async take(count: number): Promise<number[]> {
    this.own ??= this.claim();
    const first = (await this.own) + 1;
    const ports: number[] = [];
    while (ports.length < count) {
      const port = first + Math.floor(Math.random() * (this.range.countPerProcess - 1));
      if (this.allocated.has(port)) continue;
      this.allocated.add(port);
      if (await isFree(port)) ports.push(port);
    }
    return ports;
  }

  private async claim(): Promise<number> {
    const { first, count, countPerProcess } = this.range;
    for (;;) {
      const part = Math.floor(Math.random() * Math.floor(count / countPerProcess));
      const port = first + part * countPerProcess;
      const server = await listen(port);
      if (!server) continue;
      server.unref();
      this.claimed = server;
      return port;
    }
  }
}
