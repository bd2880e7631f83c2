import type { Socket } from 'node:net';

function keyOf({ remoteAddress, remotePort }: Socket): string {
  return `${remoteAddress} ${remotePort}`;
}

/**
 * Connections that were accepted to refuse their request. They are known by their remote address and port, since over TLS
 * a request refers to another socket than the one that was accepted.
 */
export class BusyConnections {
  private readonly keys = new Set<string>();

  add(socket: Socket): void {
    const key = keyOf(socket);
    this.keys.add(key);
    socket.once('close', () => this.keys.delete(key));
  }

  has(socket: Socket): boolean {
    return this.keys.size > 0 && this.keys.has(keyOf(socket));
  }
}
