import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { toNodeHandler } from 'h3/node';
import type { H3 } from 'h3';
import { nanoid } from 'nanoid';
import type { Clock } from '../base/index.js';
import { mayClose } from '../core/overload/index.js';
import { refuse } from '../core/refusal/index.js';
import { AcceptGate, gateConnections } from '../shell/accept/index.js';
import type { ConnectionGuard } from '../shell/callers/index.js';
import { invalidFieldName, linger } from '../shell/http1/index.js';
import { callerServer, type KeySettings } from '../shell/tls/index.js';
import { BusyConnections } from './busyconnections.js';
import { Connections } from './connections.js';
import type { EntryContext } from './entrycontext.js';
import { lastAnswer } from './lastanswer.js';
import { problem } from './problem.js';
import { sendProblem } from './sendproblem.js';

const RETRY_AFTER_MS = 1000;

/** Refusal type by the code of Node's error for a request that cannot be parsed; `malformed` for other codes. */
const REFUSAL_TYPES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: 'headers-too-large',
  ERR_HTTP_REQUEST_TIMEOUT: 'request-timeout',
};

type RequestListener = (request: IncomingMessage, response: ServerResponse) => void;

/** Answers what cannot be parsed, after the answers to the requests before it, and closes the connection. */
function refuseUnparsable(
  clock: Clock,
  connections: Connections,
  guard: ConnectionGuard,
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  if (lastAnswer.isAnnounced(socket) || guard.isStopped(socket)) return;
  lastAnswer.announceFor(socket);
  const type = REFUSAL_TYPES[error.code ?? ''] ?? 'malformed';
  const { status, headers, body } = problem(refuse(type, error.message), nanoid());
  const lines = Object.entries({ ...headers, connection: 'close', 'content-length': body.length });
  const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  connections.whenAnswered(socket, () => {
    if (!socket.writable) return;
    socket.write(`HTTP/1.1 ${status} \r\n${head}\r\n${body}`);
    linger(socket, clock);
  });
}

/** Wraps a listener so that it refuses requests with invalid header names. */
function refuseInvalidNames(clock: Clock, listen: RequestListener): RequestListener {
  return (request, response) => {
    if (invalidFieldName(request.rawHeaders) === undefined) {
      listen(request, response);
      return;
    }
    lastAnswer.announce(response, clock);
    sendProblem(response, refuse('malformed', 'The request has an invalid header name.'), nanoid());
  };
}

/** Wraps a listener so that it refuses requests on connections past the limit. */
function refuseOverLimit(
  clock: Clock,
  connections: Connections,
  listen: RequestListener,
): RequestListener {
  return (request, response) => {
    if (connections.isAdmitted(request.socket)) {
      listen(request, response);
      return;
    }
    const options = { retryAfterMs: RETRY_AFTER_MS };
    const detail = `This entry has ${connections.limit} connections.`;
    lastAnswer.announce(response, clock);
    sendProblem(response, refuse('connections-full', detail, options), nanoid());
  };
}

/** Wraps a listener so that it refuses requests on connections that this entry cannot read in time. */
function refuseBusy(clock: Clock, busy: BusyConnections, listen: RequestListener): RequestListener {
  return (request, response) => {
    if (!busy.has(request.socket)) {
      listen(request, response);
      return;
    }
    const options = { retryAfterMs: RETRY_AFTER_MS };
    const detail = 'More connections wait at this entry than it can read in time.';
    lastAnswer.announce(response, clock);
    sendProblem(response, refuse('entry-busy', detail, options), nanoid());
  };
}

/** Wraps a listener so that it refuses requests for which this entry has no memory. */
function refuseFull(
  clock: Clock,
  guard: ConnectionGuard,
  listen: RequestListener,
): RequestListener {
  return (request, response) => {
    if (!guard.isFull) {
      listen(request, response);
      return;
    }
    const options = { retryAfterMs: RETRY_AFTER_MS };
    const detail = 'This entry has no memory left for further requests.';
    lastAnswer.announce(response, clock);
    sendProblem(response, refuse('entry-full', detail, options), nanoid());
  };
}

/** Wraps a listener so that it ignores requests behind an answer that closes the connection. */
function ignoreAfterLast(
  connections: Connections,
  guard: ConnectionGuard,
  listen: RequestListener,
): RequestListener {
  return (request, response) => {
    if (lastAnswer.isAnnounced(request.socket)) {
      guard.stop(request.socket);
      request.resume();
      return;
    }
    connections.begin(response);
    lastAnswer.begin(response);
    guard.begin(response).whenTurn(() => listen(request, response));
  };
}

/** An HTTP server and its caller connections. */
interface Listener {
  readonly server: Server;
  readonly connections: Connections;
}

/** Creates the HTTP server of an entry, with its limits. */
export function createListener(
  app: H3,
  { clock, log, metrics, limits, guard, gate: requestGate }: EntryContext,
  tls: KeySettings | null | undefined,
): Listener {
  const server = callerServer(tls, log, {
    maxHeaderSize: limits.headerBytes,
    requestTimeout: limits.requestTimeoutMs,
    headersTimeout: limits.requestTimeoutMs,
  });
  const connections = new Connections(server, limits.connections, clock, (socket) =>
    guard.accept(socket),
  );
  const listen = toNodeHandler(app) as unknown as RequestListener;
  const wellFormed = refuseInvalidNames(clock, listen);
  const checked = refuseOverLimit(clock, connections, refuseFull(clock, guard, wellFormed));
  const busy = new BusyConnections();
  server.on('request', ignoreAfterLast(connections, guard, refuseBusy(clock, busy, checked)));
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    refuseUnparsable(clock, connections, guard, error, socket);
  });
  let listeningSinceMs = Infinity;
  server.once('listening', () => {
    listeningSinceMs = clock.nowMs();
  });
  const gate = new AcceptGate({
    clock,
    log,
    decided: (fate) => metrics.count('connection', 1, { fate }),
    polled: (delayMs) => metrics.histogram('read_delay_ms', delayMs),
    mayClose: () => mayClose(clock.nowMs() - listeningSinceMs, !requestGate.ready()),
  });
  gateConnections(server, (socket) => {
    const fate = gate.admit(socket);
    if (fate === 'refused') busy.add(socket);
    return fate !== 'closed-unread';
  });
  return { server, connections };
}
