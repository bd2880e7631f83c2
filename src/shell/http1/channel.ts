import { FailureError, type Clock, type Failure, type Ms } from '../../base/index.js';
import type { Http1Call } from './http1call.js';
import type { Http1Receiver } from './http1receiver.js';
import type { Http1Exchange } from './http1exchange.js';
import type { Connection } from './connection.js';
import { isInvalidCall } from './isinvalidcall.js';
import { framingOf } from './framingof.js';
import { isMalformed } from './ismalformed.js';
import { openConnection } from './openconnection.js';
import { PieceMerger } from './piecemerger.js';

/** Options of a `Channel`. */
interface ChannelOptions {
  readonly clock: Clock;
  readonly connectTimeoutMs: Ms;
  readonly idleMs: Ms;
  readonly maxConnections: number;
}

type Framing = Parameters<Http1Receiver['head']>[2];
type FailureType = Parameters<Http1Receiver['failed']>[0]['type'];

const WITHHELD = 'The request was withheld: its sender no longer permits it.';

/** Connection pool of one address. A connection carries one call at a time; the one used last is reused first. */
export class Channel {
  private readonly idle: Connection[] = [];

  private readonly connections = new Set<Connection>();

  private isRetired = false;

  private maxConnections: number;

  private pieceCount = 0;

  constructor(
    private readonly address: string,
    private readonly options: ChannelOptions,
  ) {
    this.maxConnections = options.maxConnections;
  }

  /**
   * Sends a request. Returns undefined if the connection limit is reached and no connection is idle. Never throws: an
   * address or a call that cannot be used fails after `send` has returned.
   */
  send(call: Http1Call, receiver: Http1Receiver): Http1Exchange | undefined {
    const idle = this.idle.pop();
    if (idle) return this.dispatch(idle, call, receiver);
    if (this.connections.size >= this.maxConnections) return undefined;
    const added = this.add();
    if (added.ok) return this.dispatch(added.val, call, receiver);
    return this.refuse(added.val, receiver);
  }

  /**
   * Limits the open connections and closes idle ones beyond the limit; others close after their running calls. The limit
   * changes with what other processes use of the peer's own limit. Returns how many connections are open.
   */
  limit(maxConnections: number): number {
    this.maxConnections = maxConnections;
    while (this.connections.size > maxConnections && this.idle.length > 0) this.drop(this.idle[0]!);
    return this.connections.size;
  }

  /** Returns in how many pieces answers were read since the last call. */
  takePieceCount(): number {
    const { pieceCount } = this;
    this.pieceCount = 0;
    return pieceCount;
  }

  /** Closes idle connections now, and each other connection after its running call. */
  retire(): void {
    this.isRetired = true;
    for (const connection of [...this.idle]) this.drop(connection);
  }

  /** Closes all connections; running calls fail. */
  close(): void {
    for (const connection of [...this.connections]) this.drop(connection);
  }

  private add(): ReturnType<typeof openConnection> {
    const added = openConnection(this.address, this.options, (connection) =>
      this.forget(connection),
    );
    if (added.ok) this.connections.add(added.val);
    return added;
  }

  /** Reports that no connection can be opened to the address. */
  private refuse({ type, detail }: Failure, receiver: Http1Receiver): Http1Exchange {
    let isOver = false;
    queueMicrotask(() => {
      if (!isOver) {
        receiver.failed({ type: 'connection-failed', detail: `${type}: ${detail}`, sent: false });
      }
    });
    return {
      isSent: false,
      received: { bytes: 0, pieces: 0 },
      cancel: () => {
        isOver = true;
      },
      resume() {},
    };
  }

  private forget(connection: Connection): void {
    this.connections.delete(connection);
    const at = this.idle.indexOf(connection);
    if (at >= 0) this.idle.splice(at, 1);
  }

  private drop(connection: Connection): void {
    this.forget(connection);
    if (connection.isClosed) return;
    Object.assign(connection, { isClosed: true });
    void connection.client.destroy().catch(() => undefined);
  }

  private dispatch(
    connection: Connection,
    call: Http1Call,
    receiver: Http1Receiver,
  ): Http1Exchange {
    let isSent = false;
    let isWithheld = false;
    let isOver = false;
    let framing: Framing = 'length';
    const received = { bytes: 0, pieces: 0 };
    const merger = new PieceMerger({
      deliver: (bytes) => receiver.data(bytes),
      hold: () => connection.socket?.hold(),
      release: () => connection.socket?.release(),
      failed: (error) => {
        void connection.client.destroy(error).catch(() => undefined);
      },
    });
    const fail = (type: FailureType, detail: string) => {
      merger.flush();
      if (isOver) return;
      isOver = true;
      merger.end();
      this.drop(connection);
      receiver.failed({ type, detail, sent: isSent });
    };
    const typeOf = (error: Error): FailureType => {
      // The parser rejects the end of a connection inside an answer, too.
      const isCut = connection.hasEnded || !isMalformed(error);
      if (isSent) return isCut ? 'connection-lost' : 'answer-malformed';
      if (isWithheld) return 'withheld';
      return isInvalidCall(error) ? 'call-invalid' : 'connection-failed';
    };
    let hasReturned = false;
    const onError = (error: Error) => {
      // A call that cannot be written is reported from within `dispatch`, before its sender has the exchange.
      if (hasReturned) fail(typeOf(error), error.message);
      else queueMicrotask(() => fail(typeOf(error), error.message));
    };
    connection.socket?.begin();
    connection.client.dispatch(
      {
        method: call.method,
        path: call.path,
        headers: [...call.headers],
        body: call.body?.length ? call.body : null,
      },
      {
        onConnect: (abort: (error: Error) => void) => {
          // Opening a connection takes time, and the process may have been suspended meanwhile.
          if (call.maySend && !call.maySend()) {
            isWithheld = true;
            abort(new FailureError({ type: 'withheld', detail: WITHHELD }));
            return;
          }
          isSent = true;
        },
        onHeaders: (status: number, raw: Buffer[]) => {
          if (status < 200) return true;
          connection.socket?.progress(0);
          const headers = raw.map((part) => part.toString('latin1'));
          framing = framingOf(call.method, status, headers);
          if (!isOver) receiver.head(status, headers, framing);
          return true;
        },
        onData: (chunk: Buffer) => {
          received.bytes += chunk.length;
          received.pieces += 1;
          this.pieceCount += 1;
          connection.socket?.progress(chunk.length);
          merger.add(chunk);
          return true;
        },
        onComplete: () => {
          const isFramed = framing !== 'connection';
          if (!isFramed && connection.isBroken) {
            const detail = 'The connection was reset before the end of an answer without a length.';
            fail('connection-lost', detail);
            return;
          }
          merger.flush();
          if (isOver) return;
          isOver = true;
          merger.end();
          const isKept = isFramed && !connection.isClosed && !this.isRetired;
          if (isKept && this.connections.size <= this.maxConnections) this.idle.push(connection);
          else this.drop(connection);
          receiver.end();
        },
        onError,
      },
    );
    hasReturned = true;
    return {
      get isSent() {
        return isSent;
      },
      received,
      cancel: () => {
        if (isOver) return;
        isOver = true;
        merger.end();
        this.drop(connection);
      },
      resume: () => merger.resume(),
    };
  }
}
