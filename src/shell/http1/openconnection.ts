import type { Socket } from 'node:net';
import type { Result } from 'ts-results';
import { Client } from 'undici';
import { FailureError, result, type Clock, type Failure, type Ms } from '../../base/index.js';
import { afterReads } from '../loop/index.js';
import { AnswerSocket } from './answersocket.js';
import type { Connection } from './connection.js';

/** Options of a connection. */
interface ConnectionOptions {
  readonly clock: Clock;
  readonly connectTimeoutMs: Ms;
  /** Idle timeout for peers that announce none. */
  readonly idleMs: Ms;
}

/** Idle connections close this long before the peer's announced timeout: a later request could cross the close. */
const IDLE_MARGIN_MS = 500;
const MAX_IDLE_MS = 600_000;
const MAX_HEADER_BYTES = 65_536;

/** An address to which no connection can be opened. */
interface AddressFailure extends Failure {
  readonly type: 'address-invalid';
}

/** Prepares a connection to an address. The first request opens it. */
export function openConnection(
  address: string,
  options: ConnectionOptions,
  closed: (connection: Connection) => void,
): Result<Connection, AddressFailure> {
  const origin = `http://${address}`;
  // The client's own parser throws.
  if (!URL.canParse(origin)) {
    return result.Err({ type: 'address-invalid', detail: `"${address}" is no host and port.` });
  }
  const state = {
    isBroken: false,
    hasEnded: false,
    isClosed: false,
    socket: undefined as AnswerSocket | undefined,
  };
  const open = (
    { hostname, port }: { hostname: string; port: string },
    done: (error: Error | null, socket: Socket | null) => void,
  ) => {
    const socket = new AnswerSocket();
    socket.setNoDelay(true);
    socket.connect({ host: hostname, port: Number(port) });
    state.socket = socket;
    let isOpen = false;
    const onTimeout = () => {
      if (isOpen) return;
      const detail = `No connection within ${options.connectTimeoutMs} ms.`;
      socket.destroy(new FailureError({ type: 'connect-timeout', detail }));
    };
    // After a stall of the event loop this timer would fire before the pending connect event is read.
    const timer = setTimeout(() => afterReads(options.clock, onTimeout), options.connectTimeoutMs);
    socket.on('error', (error) => {
      state.isBroken = true;
      clearTimeout(timer);
      if (!isOpen) done(error, null);
    });
    // A reset that arrives together with data is reported as an ordinary end. Only a reset socket has no remote
    // address any more.
    socket.on('end', () => {
      state.hasEnded = true;
      if (socket.remoteAddress === undefined) state.isBroken = true;
    });
    socket.once('connect', () => {
      isOpen = true;
      clearTimeout(timer);
      // The pending request is written at once, so whatever arrived during a stall of the event loop is read first.
      afterReads(options.clock, () => done(null, socket));
    });
  };
  const client = new Client(origin, {
    // undici's type also requires support for TLS sockets.
    connect: open as never,
    pipelining: 1,
    bodyTimeout: 0,
    headersTimeout: 0,
    maxHeaderSize: MAX_HEADER_BYTES,
    keepAliveTimeout: options.idleMs,
    keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
    keepAliveMaxTimeout: MAX_IDLE_MS,
  });
  const connection: Connection = Object.assign(state, { client });
  const close = () => {
    if (connection.isClosed) return;
    connection.isClosed = true;
    closed(connection);
    void client.destroy().catch(() => undefined);
  };
  client.on('disconnect', close);
  client.on('connectionError', close);
  return result.Ok(connection);
}
