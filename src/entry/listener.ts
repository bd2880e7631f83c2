import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { toNodeHandler } from 'h3/node';
import type { H3 } from 'h3';
import { nanoid } from 'nanoid';
import type { Log } from '../port/index.js';
import { refuse } from '../core/refusal/index.js';
import { callerServer, type KeySettings } from '../shell/tls/index.js';
import { Connections } from './connections.js';
import type { EntryLimits } from './entrylimits.js';
import { problem } from './problem.js';
import { sendProblem } from './sendproblem.js';

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

/** Refuses the requests of connections past the limit. */
function refusePast(connections: Connections, listen: Listen): Listen {
  return (request, response) => {
    if (connections.isAdmitted(request.socket)) {
      listen(request, response);
      return;
    }
    const options = { retryAfterMs: RETRY_AFTER_MS };
    const detail = `This entry has ${connections.limit} connections.`;
    response.setHeader('connection', 'close');
    sendProblem(response, refuse('connections-full', detail, options), nanoid());
  };
}

/** A server and the connections that it has. */
interface Listener {
  readonly server: Server;
  readonly connections: Connections;
}

/** The HTTP server of an entry, with its limits. */
export function createListener(
  app: H3,
  limits: EntryLimits,
  tls: KeySettings | null | undefined,
  log: Log,
): Listener {
  const server = callerServer(tls, log, {
    maxHeaderSize: limits.headerBytes,
    requestTimeout: limits.requestTimeoutMs,
    headersTimeout: limits.requestTimeoutMs,
  });
  const connections = new Connections(server, limits.connections);
  const listen = toNodeHandler(app) as unknown as Listen;
  server.on('request', refusePast(connections, listen));
  server.on('clientError', refuseUnreadable);
  return { server, connections };
}
