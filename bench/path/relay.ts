import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Passes TCP on to a port and counts the bytes of both directions. */
export class Relay {
  bytes = 0;

  private readonly sockets = new Set<Socket>();

  private server: Server | undefined;

  /** Listens before the given port; resolves with the port of its own. */
  async open(port: number): Promise<number> {
    const server = createServer((near) => this.join(near, connect(port, '127.0.0.1')));
    this.server = server;
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return (server.address() as AddressInfo).port;
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server?.close();
  }

  private join(near: Socket, far: Socket): void {
    for (const [from, to] of [
      [near, far],
      [far, near],
    ] as const) {
      this.sockets.add(from);
      from.setNoDelay(true);
      from.on('data', (chunk: Buffer) => {
        this.bytes += chunk.length;
      });
      from.on('error', () => to.destroy());
      from.pipe(to);
    }
  }
}
