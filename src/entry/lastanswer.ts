import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../base/index.js';
import { lingerAfter } from '../shell/http1/index.js';

const announced = new WeakSet<Socket>();

/** Marks a connection that closes after the answers that are due on it. */
function announceFor(socket: Socket): void {
  announced.add(socket);
}

/** Makes this answer the last one on its connection. What the caller still writes is read and discarded. */
function announce(response: ServerResponse, clock: Clock): void {
  announceFor(response.req.socket);
  response.setHeader('connection', 'close');
  lingerAfter(response, clock);
  response.req.resume();
}

/** True if an answer has said that the connection closes. Its caller knows that later requests are not read. */
function isAnnounced(socket: Socket): boolean {
  return announced.has(socket) || !socket.writable;
}

/** Answers that close their connection. */
export const lastAnswer = { announce, announceFor, isAnnounced };
