import { AsyncLocalStorage } from 'node:async_hooks';
import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

/** Bytes that one node has sent and received. */
interface NodeBytes {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

const running = new AsyncLocalStorage<string>();
const sockets = new Map<string, Set<Socket>>();
const closed = new Map<string, { sentBytes: number; receivedBytes: number }>();

function bytesOf(node: string): { sentBytes: number; receivedBytes: number } {
  const bytes = closed.get(node) ?? { sentBytes: 0, receivedBytes: 0 };
  closed.set(node, bytes);
  return bytes;
}

function own(node: string, socket: Socket): void {
  const all = sockets.get(node) ?? new Set();
  sockets.set(node, all.add(socket));
  socket.once('close', () => {
    const bytes = bytesOf(node);
    bytes.sentBytes += socket.bytesWritten;
    bytes.receivedBytes += socket.bytesRead;
    all.delete(socket);
  });
}

subscribe('net.client.socket', (message) => {
  const node = running.getStore();
  if (node) own(node, (message as { socket: Socket }).socket);
});

subscribe('net.server.socket', (message) => {
  const node = running.getStore();
  if (node) own(node, (message as { socket: Socket }).socket);
});

/** Counts what crosses the sockets of each node of a benchmark, where nodes share a process. */
export const traffic = {
  /** Runs something for a node: the sockets that it opens or accepts from now on are the node's. */
  run<Value>(node: string, act: () => Value): Value {
    return running.run(node, act);
  },

  read(nodes: readonly string[]): ReadonlyMap<string, NodeBytes> {
    const found = new Map<string, NodeBytes>();
    for (const node of nodes) {
      let { sentBytes, receivedBytes } = bytesOf(node);
      for (const socket of sockets.get(node) ?? []) {
        sentBytes += socket.bytesWritten;
        receivedBytes += socket.bytesRead;
      }
      found.set(node, { sentBytes, receivedBytes });
    }
    return found;
  },
};
