import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../base/index.js';
import type { ConnectionGuard } from '../shell/callers/index.js';
import { lingerAfter } from '../shell/http1/index.js';
import { afterReads } from '../shell/loop/index.js';
import type { Gate } from './gate.js';

/** The part of an entry's context that decides about the close of a connection. */
interface Context {
  readonly gate: Pick<Gate, 'ready'>;
  readonly guard: Pick<ConnectionGuard, 'isStopped'>;
  readonly clock: Clock;
}

const announced = new WeakSet<Socket>();

/** The answer to the last request that was read on each connection. */
const latest = new WeakMap<Socket, ServerResponse>();

/** Records that the head of a request was read. */
function begin(response: ServerResponse): void {
  latest.set(response.req.socket, response);
}

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

/**
 * Calls `send`, which sends the head of an answer. While the entry stops, and on a connection on which no more is read, waits until what has arrived is read, and makes
 * the answer to the last request the last one on its connection: a later close could cross a further request.
 */
function beforeHead(
  { gate, guard, clock }: Context,
  response: ServerResponse,
  send: () => void,
): void {
  if (gate.ready() && !guard.isStopped(response.req.socket)) {
    send();
    return;
  }
  afterReads(clock, () => {
    if (response.headersSent || response.destroyed) return;
    const { socket } = response.req;
    const isLast = latest.get(socket) === response && !isAnnounced(socket);
    // A caller that has asked for the close itself sends nothing after its request.
    if (isLast && response.shouldKeepAlive) announce(response, clock);
    send();
  });
}

/** Answers that close their connection. */
export const lastAnswer = { begin, beforeHead, announce, announceFor, isAnnounced };
