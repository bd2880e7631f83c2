import { connect, type Socket } from 'node:net';
import { Client } from 'undici';
import type { Ms } from '../../base/index.js';

/** One connection, and whether it broke: the library takes a reset for the end of some answers. */
export interface Link {
  readonly client: Client;
  isBroken: boolean;
  isClosed: boolean;
}

/** Bounds of a connection's life. */
interface LinkOptions {
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
  const open = (
    { hostname, port }: { hostname: string; port: string },
    done: (error: Error | null, socket: Socket | null) => void,
  ) => {
    const socket = connect({ host: hostname, port: Number(port), noDelay: true });
    const timer = setTimeout(() => socket.destroy(new Error('connect timeout')), options.connectTimeoutMs);
    let isOpen = false;
    socket.on('error', (error) => {
      link.isBroken = true;
      clearTimeout(timer);
      if (!isOpen) done(error, null);
    });
    socket.once('connect', () => {
      isOpen = true;
      clearTimeout(timer);
      done(null, socket);
    });
  };
  const client = new Client(`http://${address}`, {
    connect: open as never,
    pipelining: 1,
    bodyTimeout: 0,
    headersTimeout: 0,
    maxHeaderSize: HEADER_BYTES,
    keepAliveTimeout: options.idleMs,
    keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
    keepAliveMaxTimeout: LONGEST_IDLE_MS,
  });
  const link: Link = { client, isBroken: false, isClosed: false };
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
