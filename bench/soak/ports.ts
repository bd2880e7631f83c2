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
 * Allocates free loopback ports, each one only once. A program that has not started yet does not listen on its port,
 * so a check for listeners is not enough: two entries with the same port would leave the second unable to start.
 */
export class Ports {
  private readonly allocated = new Set<number>();

  constructor(private readonly range: PortRange) {}

  async take(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
      const port = this.range.first + Math.floor(Math.random() * this.range.count);
      if (this.allocated.has(port)) continue;
      this.allocated.add(port);
      if (await isFree(port)) ports.push(port);
    }
    return ports;
  }
}
