import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as SecureServer } from 'node:https';
import type { Socket } from 'node:net';
import { toNodeHandler } from 'h3/node';
import type { H3 } from 'h3';
import { nanoid } from 'nanoid';
import type { Log } from '../port/index.js';
import { refuse } from '../core/refusal/index.js';
import { callerServer, type KeySettings } from '../shell/tls/index.js';
import type { EntryLimits } from './entrylimits.js';
import { problem } from './problem.js';
import { sendProblem } from './sendproblem.js';

/** Connections past the limit are answered with a refusal, but no more than so many at once. */
const REFUSED_CONNECTIONS = 64;
const RETRY_AFTER_MS = 1000;

/** What Node reports of a request that it could not read, and what the caller is told. */
const UNREADABLE: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: 'headers-too-large',
  ERR_HTTP_REQUEST_TIMEOUT: 'request-timeout',
};

type Listen = (request: IncomingMessage, response: ServerResponse) => void;

function refuseUnreadable(error: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable) return;
  const type = UNREADABLE[error.code ?? ''] ?? 'malformed';
  const { status, headers, body } = problem(refuse(type, error.message), nanoid());
  const lines = Object.entries({ ...headers, connection: 'close', 'content-length': body.length });
  const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  socket.end(`HTTP/1.1 ${status} \r\n${head}\r\n${body}`);
}

/** Lets so many connections in; the requests of those past the limit are refused. */
function limitConnections(server: Server, limit: number, listen: Listen): Listen {
  const inside = new WeakSet<object>();
  let open = 0;
  const admit = (socket: Socket) => {
    if (open < limit) inside.add(socket);
    open += 1;
    socket.once('close', () => {
      open -= 1;
    });
  };
  // Over TLS, a request's socket is the one that this event brings.
  server.on(server instanceof SecureServer ? 'secureConnection' : 'connection', admit);
  return (request, response) => {
    if (inside.has(request.socket)) {
      listen(request, response);
      return;
    }
    const options = { retryAfterMs: RETRY_AFTER_MS };
    const refusal = refuse('connections-full', `This entry has ${limit} connections.`, options);
    response.setHeader('connection', 'close');
    sendProblem(response, refusal, nanoid());
  };
}

/** The HTTP server of an entry, with its limits. */
export function createListener(
  app: H3,
  limits: EntryLimits,
  tls: KeySettings | null | undefined,
  log: Log,
): Server {
  const server = callerServer(tls, log, {
    maxHeaderSize: limits.headerBytes,
    requestTimeout: limits.requestTimeoutMs,
    headersTimeout: limits.requestTimeoutMs,
  });
  server.maxConnections = limits.connections + REFUSED_CONNECTIONS;
  const listen = toNodeHandler(app) as unknown as Listen;
  server.on('request', limitConnections(server, limits.connections, listen));
  server.on('clientError', refuseUnreadable);
  return server;
}
