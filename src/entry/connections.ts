import type { Server, ServerResponse } from 'node:http';
import { Server as SecureServer } from 'node:https';
import type { Socket } from 'node:net';
import type { Clock, Ms } from '../base/index.js';
import { linger } from '../shell/http1/index.js';

/** Connections past the limit that are open at once to receive a refusal; any further ones are closed unanswered. */
const REFUSED_CONNECTIONS = 64;

/** A request may be on its way on a connection that was opened, or got an answer, less than this ago. */
const REQUEST_WITHIN_MS: Ms = 200;

/** A connection of a caller. */
interface Connection {
  /** When it was opened, or when an answer was last sent completely. */
  usedAtMs: Ms;
  /** Bytes read up to the last complete answer; more of them belong to a request that is not read completely. */
  answeredAtBytes: number;
  /** Answers that are not sent completely, in the order of their requests. */
  readonly open: Set<ServerResponse>;
  /** Called once the requests that were read completely are answered. */
  whenAnswered: (() => void) | undefined;
}

/** Calls what waits for the answers on a connection. A request whose body was cut short gets none. */
function notifyAnswered(connection: Connection): void {
  for (const { req } of connection.open) if (req.complete) return;
  connection.whenAnswered?.();
  Object.assign(connection, { whenAnswered: undefined });
}

/** Tracks and limits the open connections of callers at one server. */
export class Connections {
  private readonly open = new Map<Socket, Connection>();

  private readonly admitted = new WeakSet<object>();

  constructor(
    server: Server,
    readonly limit: number,
    private readonly clock: Clock,
    /** Records a new connection. Returns false if the limit is reached and no connection is idle. */
    private readonly accept: (socket: Socket) => boolean,
  ) {
    // Over TLS, a request refers to the socket of this event and not to the raw TCP socket.
    const event = server instanceof SecureServer ? 'secureConnection' : 'connection';
    server.on(event, (socket: Socket) => this.add(socket));
  }

  /** False for a connection that was opened after the limit had been reached. */
  isAdmitted(socket: Socket): boolean {
    return this.admitted.has(socket);
  }

  /** Records that the head of a request was read. */
  begin(response: ServerResponse): void {
    const connection = this.open.get(response.req.socket);
    if (!connection) return;
    connection.open.add(response);
    response.once('close', () => {
      connection.open.delete(response);
      connection.answeredAtBytes = response.req.socket.bytesRead;
      connection.usedAtMs = this.clock.nowMs();
      notifyAnswered(connection);
    });
  }

  /** Calls `act` once all requests that were read completely on the connection are answered. */
  whenAnswered(socket: Socket, act: () => void): void {
    const connection = this.open.get(socket);
    if (!connection) return;
    connection.whenAnswered = act;
    notifyAnswered(connection);
  }

  /**
   * Closes the connections that carry no request. Node's own `closeIdleConnections` also destroys those whose answer
   * has ended and is still being sent.
   */
  closeUnused(): void {
    const nowMs = this.clock.nowMs();
    for (const [socket, { open, answeredAtBytes, usedAtMs }] of this.open) {
      const isIdle = open.size === 0 && socket.bytesRead === answeredAtBytes;
      const isExpected = nowMs - usedAtMs < REQUEST_WITHIN_MS;
      if (isIdle && !isExpected && socket.writable) linger(socket, this.clock);
    }
  }

  private add(socket: Socket): void {
    if (this.open.size >= this.limit + REFUSED_CONNECTIONS) {
      socket.destroy();
      return;
    }
    if (this.accept(socket)) this.admitted.add(socket);
    this.open.set(socket, {
      usedAtMs: this.clock.nowMs(),
      // Over TLS, those of the handshake.
      answeredAtBytes: socket.bytesRead,
      open: new Set(),
      whenAnswered: undefined,
    });
    socket.once('close', () => this.open.delete(socket));
  }
}
