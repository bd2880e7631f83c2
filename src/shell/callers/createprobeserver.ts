import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Clock, Ms } from '../../base/index.js';
import type { Log } from '../../port/index.js';
import { gateConnections } from '../accept/index.js';
import { ConnectionGuard } from './connectionguard.js';

/** Options of a server for probes. */
interface ProbeServerOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Called with the reason for each connection that is closed. */
  readonly closed: ConstructorParameters<typeof ConnectionGuard>[0]['closed'];
  readonly answer: (response: ServerResponse) => void;
}

/** A probe has neither credentials nor a body. */
const HEADER_BYTES = 8192;
const TIMEOUT_MS: Ms = 10_000;
const CHECK_EVERY_MS: Ms = 1000;
/** A prober sends one request at a time; the rest is for one whose requests were held up on their way. */
const LIMITS = {
  connections: 64,
  requestsAhead: 8,
  requestsUnderWay: 1,
  heldBytes: 4_194_304,
  bodyIdleMs: TIMEOUT_MS,
  callerStallMs: TIMEOUT_MS,
} as const;

function hasBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/** Creates an HTTP server for probes of this process, which takes next to nothing from what callers need. */
export function createProbeServer({ clock, log, closed, answer }: ProbeServerOptions): Server {
  const guard = new ConnectionGuard({
    clock,
    log,
    limits: () => LIMITS,
    closed,
    observed: () => undefined,
  });
  const options = {
    maxHeaderSize: HEADER_BYTES,
    headersTimeout: TIMEOUT_MS,
    requestTimeout: TIMEOUT_MS,
    keepAliveTimeout: TIMEOUT_MS,
    connectionsCheckingInterval: CHECK_EVERY_MS,
    // Node's own refusal would be answered for each request of a read.
    requireHostHeader: false,
  };
  const server = createServer(options, (request, response) => {
    Object.assign(response, { sendDate: false });
    // The answer closes the connection, so that the body is not read.
    if (hasBody(request)) response.setHeader('Connection', 'close');
    request.resume();
    guard.begin(response).whenTurn(() => answer(response));
  });
  gateConnections(server, (socket) => {
    const isAccepted = guard.accept(socket);
    if (!isAccepted) socket.destroy();
    return isAccepted;
  });
  return server;
}
