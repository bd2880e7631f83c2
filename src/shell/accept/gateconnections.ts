import type { Server, Socket } from 'node:net';

/** Lets a server create parsers and TLS sessions only for connections that are admitted. */
export function gateConnections(server: Server, isAdmitted: (socket: Socket) => boolean): void {
  const listeners = server.listeners('connection');
  server.removeAllListeners('connection');
  server.on('connection', (socket) => {
    if (!isAdmitted(socket)) return;
    for (const listener of listeners) listener.call(server, socket);
  });
}
