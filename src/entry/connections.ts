import type { Server } from 'node:http';
import { Server as SecureServer } from 'node:https';
import type { Socket } from 'node:net';

/** Connections past the limit that are open at once to receive a refusal; any further ones are closed unanswered. */
const REFUSED_CONNECTIONS = 64;

/** Tracks and limits the open connections of callers at one server. */
export class Connections {
  private readonly open = new Set<Socket>();

  private readonly admitted = new WeakSet<object>();

  constructor(
    private readonly server: Server,
    readonly limit: number,
  ) {
    // Over TLS, a request refers to the socket of this event and not to the raw TCP socket.
    const event = server instanceof SecureServer ? 'secureConnection' : 'connection';
    server.on(event, (socket: Socket) => this.add(socket));
  }

  /** False for a connection that was opened after the limit had been reached. */
  isAdmitted(socket: Socket): boolean {
    return this.admitted.has(socket);
  }

  /** Closes the connections that carry no request. */
  closeUnused(): void {
    this.server.closeIdleConnections();
    // Node does not count a connection that has never sent a byte as idle.
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
