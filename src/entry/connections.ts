import type { Server } from 'node:http';
import { Server as SecureServer } from 'node:https';
import type { Socket } from 'node:net';

/** Connections past the limit are answered with a refusal, but no more than so many at once. */
const REFUSED_CONNECTIONS = 64;

/** The callers' connections of one server. */
export class Connections {
  private readonly open = new Set<Socket>();

  private readonly admitted = new WeakSet<object>();

  constructor(
    private readonly server: Server,
    readonly limit: number,
  ) {
    // Over TLS, a request's socket is the one that this event brings.
    const event = server instanceof SecureServer ? 'secureConnection' : 'connection';
    server.on(event, (socket: Socket) => this.add(socket));
  }

  /** False for a connection that came when the limit was reached. */
  isAdmitted(socket: Socket): boolean {
    return this.admitted.has(socket);
  }

  /** Closes the connections on which no request has begun. */
  closeUnused(): void {
    this.server.closeIdleConnections();
    // Node takes a connection that has not sent anything for one in use.
    for (const socket of this.open) if (socket.bytesRead === 0) socket.destroy();
  }

  private add(socket: Socket): void {
    if (this.open.size >= this.limit + REFUSED_CONNECTIONS) {
      socket.destroy();
      return;
    }
    if (this.open.size < this.limit) this.admitted.add(socket);
    this.open.add(socket);
    socket.once('close', () => this.open.delete(socket));
  }
}
