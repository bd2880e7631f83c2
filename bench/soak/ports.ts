import { createServer } from 'node:net';

/** A range of ports. */
interface PortRange {
  readonly first: number;
  readonly count: number;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.on('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/**
 * Ports of the loopback that are free, each given once: a program that has not started yet does not listen on its
 * own. Two entries that had been given one port left the second one starting in vain for ever.
 */
export class Ports {
  private readonly given = new Set<number>();

  constructor(private readonly range: PortRange) {}

  async take(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
      const port = this.range.first + Math.floor(Math.random() * this.range.count);
      if (this.given.has(port)) continue;
      this.given.add(port);
      if (await isFree(port)) ports.push(port);
    }
    return ports;
  }
}
