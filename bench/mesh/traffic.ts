import { AsyncLocalStorage } from 'node:async_hooks';
import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

/** Bytes that a node has sent and received. */
interface NodeBytes {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

const running = new AsyncLocalStorage<string>();
const sockets = new Map<string, Set<Socket>>();
const closed = new Map<string, { sentBytes: number; receivedBytes: number }>();

function closedSocketBytes(node: string): { sentBytes: number; receivedBytes: number } {
  const bytes = closed.get(node) ?? { sentBytes: 0, receivedBytes: 0 };
  closed.set(node, bytes);
  return bytes;
}

function trackSocket(node: string, socket: Socket): void {
  const open = sockets.get(node) ?? new Set();
  sockets.set(node, open.add(socket));
  socket.once('close', () => {
    const bytes = closedSocketBytes(node);
    bytes.sentBytes += socket.bytesWritten;
    bytes.receivedBytes += socket.bytesRead;
    open.delete(socket);
  });
}

subscribe('net.client.socket', (message) => {
  const node = running.getStore();
  if (node) trackSocket(node, (message as { socket: Socket }).socket);
});

subscribe('net.server.socket', (message) => {
  const node = running.getStore();
  if (node) trackSocket(node, (message as { socket: Socket }).socket);
});

/** Counts the bytes on the sockets of each node when several nodes share a process. */
export const traffic = {
  /** Runs `act` on behalf of a node. Sockets that it opens or accepts, also later, are counted for the node. */
  run<Value>(node: string, act: () => Value): Value {
    return running.run(node, act);
  },

  read(nodes: readonly string[]): ReadonlyMap<string, NodeBytes> {
    const bytesByNode = new Map<string, NodeBytes>();
    for (const node of nodes) {
      let { sentBytes, receivedBytes } = closedSocketBytes(node);
      for (const socket of sockets.get(node) ?? []) {
        sentBytes += socket.bytesWritten;
        receivedBytes += socket.bytesRead;
      }
      bytesByNode.set(node, { sentBytes, receivedBytes });
    }
    return bytesByNode;
  },
};
