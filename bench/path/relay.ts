import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Forwards TCP connections to a port and counts the bytes of both directions. */
export class Relay {
  bytes = 0;

  private readonly sockets = new Set<Socket>();

  private server: Server | undefined;

  /** Starts to listen, forwarding to the given port; resolves with the port that it listens on. */
  async open(port: number): Promise<number> {
    const server = createServer((client) => this.connectPair(client, connect(port, '127.0.0.1')));
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

  private connectPair(client: Socket, target: Socket): void {
    for (const [from, to] of [
      [client, target],
      [target, client],
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
