import { connect, type Socket } from 'node:net';
import { Client } from 'undici';
import { FailureError, type Clock, type Ms } from '../../base/index.js';
import { afterReads } from '../loop/index.js';
import type { Link } from './link.js';

/** Bounds of a connection's life. */
interface LinkOptions {
  readonly clock: Clock;
  readonly connectTimeoutMs: Ms;
  /** How long an idle connection is kept where the peer does not say. */
  readonly idleMs: Ms;
}

/** A peer that names its idle timeout closes then; a request sent less than this before may cross. */
const IDLE_MARGIN_MS = 500;
const LONGEST_IDLE_MS = 600_000;
const HEADER_BYTES = 65_536;

/** Prepares one connection to an address; it is opened by its first request. */
export function openLink(address: string, options: LinkOptions, closed: () => void): Link {
  const state = { isBroken: false, isClosed: false };
  const open = (
    { hostname, port }: { hostname: string; port: string },
    done: (error: Error | null, socket: Socket | null) => void,
  ) => {
    const socket = connect({ host: hostname, port: Number(port), noDelay: true });
    let isOpen = false;
    const giveUp = () => {
      if (isOpen) return;
      const detail = `No connection within ${options.connectTimeoutMs} ms.`;
      socket.destroy(new FailureError({ type: 'connect-timeout', detail }));
    };
    // After a standstill this timer comes before the news that the connection is open.
    const timer = setTimeout(() => afterReads(options.clock, giveUp), options.connectTimeoutMs);
    socket.on('error', (error) => {
      state.isBroken = true;
      clearTimeout(timer);
      if (!isOpen) done(error, null);
    });
    // A reset that comes together with data is told as an ordinary end; only a socket that was reset has
    // no peer any more.
    socket.on('end', () => {
      if (socket.remoteAddress === undefined) state.isBroken = true;
    });
    socket.once('connect', () => {
      isOpen = true;
      clearTimeout(timer);
      // The request that waits is written at once: news that came while this process stood still are read before.
      afterReads(options.clock, () => done(null, socket));
    });
  };
  const client = new Client(`http://${address}`, {
    // The library's type asks for a TLS socket as well.
    connect: open as never,
    pipelining: 1,
    bodyTimeout: 0,
    headersTimeout: 0,
    maxHeaderSize: HEADER_BYTES,
    keepAliveTimeout: options.idleMs,
    keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
    keepAliveMaxTimeout: LONGEST_IDLE_MS,
  });
  const link: Link = Object.assign(state, { client });
  const close = () => {
    if (link.isClosed) return;
    link.isClosed = true;
    closed();
    void client.destroy().catch(() => undefined);
  };
  client.on('disconnect', close);
  client.on('connectionError', close);
  return link;
}
