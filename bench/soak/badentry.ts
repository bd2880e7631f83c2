import { readFileSync } from 'node:fs';
import type { Socket } from 'node:net';
import { createServer, request, type IncomingMessage, type ServerResponse } from 'node:http';

/**
 * A minimal entry with one planted defect, which shows that the soak finds that defect. Without a defect it keeps the
 * promises that a run without faults checks. It does not track poison requests at all, which is the defect `sends-on`.
 * Usage: `node badentry.js DEFECT`.
 */
const [, , defect = 'none'] = process.argv;

interface Settings {
  readonly host: string;
  readonly callersAddress: string;
  readonly readinessAddress: string;
  readonly storeAddress: string;
}

interface Server {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly state: string;
  readonly models: readonly { readonly name: string }[];
}

interface Customer {
  readonly name: string;
  readonly api_keys: readonly string[];
  readonly rate_per_s: number;
}

interface Route {
  readonly path_prefix: string;
  readonly service: string;
  readonly timeout_ms: number;
}

/** A request of the uneven load that waits for capacity. */
interface Waiting {
  readonly priority: number;
  readonly customer: string;
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
}

interface Item {
  readonly key: string;
  readonly value: string;
}

const READ_EVERY_MS = 100;
/** Defects that do not affect every request affect one in this many. */
const DEFECT_ONE_IN = 10;
/** Defects that show only where answers are passed on as they come. */
const isPassedOn = defect === 'any-version' || defect === 'refuses-resumed';
/** Defects of the order in which waiting requests are served. */
const ORDERING_DEFECTS = new Set(['first-come', 'less-urgent-first']);
const ENTRIES = 3;
const COST = 200;
const UNBOUNDED_RETRIES = 40;
const SLOTS = 4;
/** Requests that wait for one target at most. */
const QUEUE_BOUND = 6;
const LONGEST_WAIT_MS = 1000;
/** Routes of the uneven load end in their priority. */
const QUEUED_ROUTE = /^\/(?:charge|draft)-(\d)\//;
const RETRY_AFTER = { 'retry-after': '0.5' };
/** Processor time of a request with the defect `reads-all`. */
const WORK_MS = 8;
/** Time after which the defects `resets-waiting` and `closes-kept` end a connection. */
const RESET_AFTER_MS = 400;
const CLOSE_AFTER_MS = 50;
const FORWARDED_HEADERS = [
  'tarragonstile-request-id',
  'tarragonstile-response-signature',
  'server-limit',
  'server-leaving',
];

const settings = JSON.parse(
  readFileSync(process.env.TARRAGONSTILE_NODE_FILE ?? '', 'utf8'),
) as Settings;
const servers = new Map<string, Server>();
let paths: readonly string[] = [];
/** What the configuration says of each route. */
const routes = new Map<string, Route>();
/** Customers by key; undefined if none are configured. */
let keys: Map<string, string> | undefined;
/** Token bucket of each customer: the remaining tokens and when they were computed. */
const left = new Map<string, { tokens: number; atMs: number }>();
const limits = new Map<string, number>();
/** What servers have reported in their answers. */
const leaving = new Set<string>();
const pausedUntilMs = new Map<string, number>();
const serverLimits = new Map<string, number>();
/** When this entry may send the next request to each server with a limit. */
const nextAtMs = new Map<string, number>();
/** Requests of the uneven load that wait at this entry and run, by target. */
const queues = new Map<string, { waiting: Waiting[]; running: number }>();
/** Requests that each customer was served. */
const servedCount = new Map<string, number>();
/** The defect: parts of the prompts of requests that servers broke off. */
const barred = new Set<string>();
/** Connections with requests that were sent to a server and have no answer yet. */
const passedOn = new Set<Socket>();
/** Connections with requests that the defect `closes-pipelined` does not handle. */
const unhandled = new Set<Socket>();
let configurationText = '';
let reads = 0;
let count = 0;
let previousBody = 'nothing';

function get(address: string, path: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const [host, port] = address.split(':');
    const sent = request({ host, port, path }, (answer) => {
      let text = '';
      answer.on('data', (chunk: Buffer) => {
        text += chunk.toString('utf8');
      });
      answer.on('end', () => resolve(text));
    });
    sent.on('error', reject);
    sent.end();
  });
}

function applyCustomers({ tenants }: { tenants?: readonly Customer[] }): void {
  if (!tenants) return;
  if (!keys || defect !== 'keeps-keys') keys = new Map();
  for (const { name, api_keys: own, rate_per_s: rate } of tenants) {
    // Entries do not coordinate, so each one uses an equal share of the limit.
    limits.set(name, defect === 'own-quota' ? rate : rate / ENTRIES);
    for (const key of own) keys.set(key, name);
  }
}

/** Takes the tokens of one request; returns false if the customer's limit does not allow it. */
function takeTokens(customer: string): boolean {
  const rate = limits.get(customer) ?? 0;
  if (rate === 0) return true;
  const nowMs = performance.now();
  const known = left.get(customer) ?? { tokens: rate, atMs: nowMs };
  const tokens = Math.min(rate, known.tokens + ((nowMs - known.atMs) * rate) / 1000);
  const isAllowed = tokens >= COST;
  left.set(customer, { tokens: isAllowed ? tokens - COST : tokens, atMs: nowMs });
  return isAllowed;
}

/** Keeps a route as a configuration has it, except for what a defect keeps from the first one. */
function takeRoute(route: Route): void {
  const first = routes.get(route.path_prefix) ?? route;
  const service = defect === 'keeps-services' ? first.service : route.service;
  const timeoutMs = defect === 'keeps-timeouts' ? first.timeout_ms : route.timeout_ms;
  routes.set(route.path_prefix, { ...route, service, timeout_ms: timeoutMs });
}

/** The defects: resets all connections whose requests wait for a server's answer. */
function cutPassedOn(): void {
  for (const socket of passedOn) socket.resetAndDestroy();
}

function take({ key, value }: Item): void {
  const text = Buffer.from(value, 'base64').toString('utf8');
  if (key === 'op/config') {
    if (defect === 'cuts-on-configuration' && text !== configurationText) cutPassedOn();
    configurationText = text;
    const isStale = defect === 'stale' ? reads > 1 : defect === 'revert' && reads % 8 === 0;
    if (isStale && paths.length > 0 && defect === 'stale') return;
    const known = (JSON.parse(text) as { routes: Route[] }).routes;
    for (const route of known) takeRoute(route);
    const all = known.map(({ path_prefix: prefix }) => prefix);
    const newest = all.find((prefix) => prefix.startsWith('/probe-'));
    applyCustomers(JSON.parse(text) as { tenants?: readonly Customer[] });
    paths = isStale ? all.filter((prefix) => prefix !== newest) : all;
    if (defect === 'keeps-routes') paths = [...routes.keys()];
  }
  if (!key.startsWith('servers/')) return;
  const id = key.slice('servers/'.length);
  const server = { ...(JSON.parse(text) as Omit<Server, 'id'>), id };
  const isLeaving = servers.get(id)?.state === 'draining' && defect !== 'believes-late';
  servers.set(id, isLeaving ? { ...server, state: 'draining' } : server);
}

/** Interval between requests to a limited server: entries do not coordinate, so each one uses an equal share. */
function gapMs(perS: number): number {
  return 1000 / (defect === 'whole-limit' ? perS : perS / ENTRIES);
}

function maySend({ id }: Server): boolean {
  return !serverLimits.has(id) || performance.now() >= (nextAtMs.get(id) ?? 0);
}

function recordSend({ id }: Server): void {
  const perS = serverLimits.get(id);
  if (perS !== undefined) nextAtMs.set(id, performance.now() + gapMs(perS));
}

/** Applies what a server reports in its answer. */
function applyReport({ id }: Server, status: number, headers: IncomingMessage['headers']): void {
  const limit = headers['server-limit'];
  if (limit === undefined) serverLimits.delete(id);
  else if (serverLimits.get(id) !== Number(limit)) {
    serverLimits.set(id, Number(limit));
    nextAtMs.set(id, performance.now() + gapMs(Number(limit)));
  }
  if (headers['server-leaving'] === '1') leaving.add(id);
  const pauseS = Number(headers['retry-after']);
  if (status === 503 && pauseS > 0) pausedUntilMs.set(id, performance.now() + pauseS * 1000);
}

async function read(): Promise<void> {
  reads += 1;
  // The defect: each read of the list overrides what servers have reported.
  if (defect === 'wiped') leaving.clear();
  try {
    let after = '';
    const present = new Set<string>();
    for (;;) {
      const path = `/kv-range?path_prefix=&after=${encodeURIComponent(after)}`;
      const page = JSON.parse(await get(settings.storeAddress, path)) as {
        items: Item[];
        more_pages: boolean;
      };
      for (const item of page.items) take(item);
      for (const { key } of page.items) present.add(key);
      if (!page.more_pages) break;
      after = page.items.at(-1)!.key;
    }
    if (defect !== 'keeps-removed') {
      for (const id of servers.keys()) if (!present.has(`servers/${id}`)) servers.delete(id);
    }
  } catch (thrown) {
    console.log(
      JSON.stringify({
        message: 'store not read: continuing with the last known state',
        detail: String(thrown),
      }),
    );
  }
  if (reads === 1) console.log(JSON.stringify({ message: 'state read' }));
  setTimeout(() => {
    void read();
  }, READ_EVERY_MS);
}

function capable(service: string, model: string): Server[] {
  return [...servers.values()].filter(
    (server) =>
      server.service === service &&
      (server.state === 'ready' || defect === 'drain') &&
      (model === '' || server.models.some(({ name }) => name === model)),
  );
}

function choose(service: string, model: string): Server | undefined {
  const open = capable(service, model).filter(
    (server) => !leaving.has(server.id) && maySend(server),
  );
  const active = open.filter(({ id }) => (pausedUntilMs.get(id) ?? 0) < performance.now());
  const chosen = defect === 'pause-last' && active.length === 0 ? open : active;
  return chosen[count % Math.max(1, chosen.length)];
}

function forwardedHeaders(headers: IncomingMessage['headers']): Record<string, string> {
  const kept: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = headers[name];
    if (typeof value === 'string') kept[name] = value;
  }
  return kept;
}

function send(
  incoming: IncomingMessage,
  server: Server,
  done: (status: number, headers: IncomingMessage['headers'], body: string) => void,
  /** Gets the answer as it comes, where the defect needs that. */
  passOn?: ServerResponse,
): void {
  const [host, port] = server.address.split(':');
  const headers: IncomingMessage['headers'] = {
    ...incoming.headers,
    'tarragonstile-expect-instance': server.id,
  };
  if (keys) {
    const key = String(headers.authorization).replace('Bearer ', '');
    delete headers.authorization;
    if (defect !== 'forged') headers['tarragonstile-tenant'] = keys.get(key);
  }
  // Only the head is passed on; without its body, the request may not announce one.
  delete headers['content-length'];
  incoming.resume();
  const { method, url: path } = incoming;
  recordSend(server);
  let isOver = false;
  const fail = () => {
    if (!isOver) done(502, {}, '');
    isOver = true;
  };
  const sent = request({ host, port, method, path, headers, agent: false }, (answer) => {
    let body = '';
    answer.on('data', (chunk: Buffer) => {
      body += chunk.toString('utf8');
    });
    applyReport(server, answer.statusCode ?? 502, answer.headers);
    if (passOn && isPassedOn && answer.statusCode === 200) {
      passOn.writeHead(200, forwardedHeaders(answer.headers));
      answer.pipe(passOn);
      return;
    }
    answer.on('error', fail);
    answer.on('end', () => {
      if (isOver) return;
      isOver = true;
      done(answer.statusCode ?? 502, answer.headers, body);
    });
  });
  sent.on('error', fail);
  incoming.socket.on('close', () => {
    if (defect !== 'gone') sent.destroy();
  });
  sent.end();
}

/** Sends an order that no plan calls for; with the defect `holders` under alternating holder names. */
async function order(server: Server): Promise<void> {
  const [host, port] = server.address.split(':');
  const holder = defect === 'holders' ? `${settings.host}-${count % 2}` : settings.host;
  const model = `m${1 + (count % 3)}`;
  const body = JSON.stringify({ op: 'load', model, holder, fencing_token: count });
  const headers = { 'tarragonstile-expect-instance': server.id };
  await new Promise<void>((resolve) => {
    const sent = request({ host, port, method: 'POST', path: '/order', headers }, (answer) => {
      answer.resume();
      answer.on('end', resolve);
    });
    sent.on('error', () => resolve());
    sent.end(body);
  });
}

function corrupt(body: string): string {
  if (defect === 'mixed') return previousBody;
  if (defect === 'short') return body.slice(0, -1);
  return defect === 'skipped' ? body.replace(/id: 2\n.*\n\n/, '') : body;
}

function forward(
  response: ServerResponse,
  status: number,
  headers: IncomingMessage['headers'],
  body: string,
): void {
  if (response.headersSent) return;
  const sentBody = count % DEFECT_ONE_IN === 0 ? corrupt(body) : body;
  previousBody = `${body}!`;
  const isDropped = defect === 'unsigned' && count % DEFECT_ONE_IN === 0;
  const kept = isDropped ? {} : forwardedHeaders(headers);
  if (response.socket && unhandled.has(response.socket)) kept.connection = 'close';
  response.writeHead(status, { ...kept, 'content-length': String(sentBody.length) }).end(sentBody);
}

/** The defect: sends a failed request again without a budget, at once and to the same server. */
function retry(
  incoming: IncomingMessage,
  response: ServerResponse,
  server: Server,
  failure: number,
): void {
  let remaining = UNBOUNDED_RETRIES;
  const again = () => {
    remaining -= 1;
    send(incoming, server, (status, headers, body) => {
      if (status >= 500 && remaining > 0) again();
      else if (status >= 500) response.writeHead(failure).end();
      else forward(response, status, headers, body);
    });
  };
  again();
}

function partsOf(incoming: IncomingMessage): string[] {
  const header = String(incoming.headers['tarragonstile-prompt-prefix'] ?? '');
  return header.split(',').slice(0, -1);
}

/** Refuses a request with a part under which a server broke off. */
function isBarred(incoming: IncomingMessage): boolean {
  return defect === 'bars-parts' && partsOf(incoming).some((part) => barred.has(part));
}

/** Orders waiting requests by priority, then by what their customers were served. */
function compareWaiting(a: Waiting, b: Waiting): number {
  if (defect === 'first-come') return 0;
  const byPriority = a.priority - b.priority;
  if (byPriority !== 0) return defect === 'less-urgent-first' ? -byPriority : byPriority;
  return (servedCount.get(a.customer) ?? 0) - (servedCount.get(b.customer) ?? 0);
}

function refuseForNow(response: ServerResponse): void {
  response.writeHead(503, defect === 'no-retry-after' ? {} : RETRY_AFTER).end();
}

/**
 * Sends the first waiting requests of a target while this entry uses less than half of the slots. With more than half of
 * them free, none waits here for long, although entries do not coordinate.
 */
function sendWaiting(service: string, model: string): void {
  const queue = queues.get(`${service}/${model}`)!;
  // A smaller share keeps the queue full also where a busy machine slows the callers down.
  const users = ORDERING_DEFECTS.has(defect) ? ENTRIES : 2;
  while (queue.running < Math.floor((capable(service, model).length * SLOTS) / users)) {
    const server = choose(service, model);
    const next = server && queue.waiting.shift();
    if (!next) return;
    const { customer, incoming, response } = next;
    count += 1;
    queue.running += 1;
    servedCount.set(customer, (servedCount.get(customer) ?? 0) + 1);
    send(incoming, server, (status, headers, body) => {
      queue.running -= 1;
      if (status === 503) refuseForNow(response);
      else forward(response, status, headers, body);
      sendWaiting(service, model);
    });
  }
}

/** Queues a request of the uneven load; a full queue refuses the last one in order. */
function enqueue(service: string, model: string, waiting: Waiting): void {
  if (defect === 'refuses-at-random' && count % DEFECT_ONE_IN === 0) {
    refuseForNow(waiting.response);
    return;
  }
  const key = `${service}/${model}`;
  const queue = queues.get(key) ?? { waiting: [], running: 0 };
  queues.set(key, queue);
  queue.waiting.push(waiting);
  queue.waiting.sort(compareWaiting);
  setTimeout(() => {
    const at = queue.waiting.indexOf(waiting);
    if (at >= 0) refuseForNow(queue.waiting.splice(at, 1)[0]!.response);
  }, LONGEST_WAIT_MS);
  if (queue.waiting.length > QUEUE_BOUND) refuseForNow(queue.waiting.pop()!.response);
  sendWaiting(service, model);
}

/** The defect: every connection is read, however long it has waited, and each request keeps the process busy. */
function keepBusy(): void {
  const untilMs = performance.now() + WORK_MS;
  while (performance.now() < untilMs);
}

function serve(incoming: IncomingMessage, response: ServerResponse): void {
  count += 1;
  if (defect === 'reads-all') keepBusy();
  const path = incoming.url ?? '';
  if (!paths.some((prefix) => path.startsWith(prefix))) {
    response.writeHead(404).end();
    return;
  }
  const customer = keys?.get(String(incoming.headers.authorization).replace('Bearer ', ''));
  if (keys && customer === undefined) {
    response.writeHead(401).end();
    return;
  }
  if (customer !== undefined && !takeTokens(customer)) {
    response.writeHead(429).end();
    return;
  }
  const wanted = String(incoming.headers['tarragonstile-model'] ?? '');
  const [model = '', adapter] = wanted.split('/');
  const priority = QUEUED_ROUTE.exec(path)?.[1];
  if (priority !== undefined && customer !== undefined) {
    const waiting = { priority: Number(priority), customer, incoming, response };
    enqueue(model === '' ? 'plain' : 'engine', model, waiting);
    return;
  }
  const route = routes.get(/^\/[^/]*\//.exec(path)?.[0] ?? '')!;
  const server = choose(model === '' ? route.service : 'engine', model);
  if (defect === 'refuses-resumed' && incoming.headers['last-event-id'] !== undefined) {
    response.writeHead(503).end();
    return;
  }
  if (defect === 'closes-pipelined' && passedOn.has(incoming.socket)) {
    unhandled.add(incoming.socket);
    return;
  }
  if (defect === 'resets-waiting' && count % DEFECT_ONE_IN === 0) {
    setTimeout(() => incoming.socket.resetAndDestroy(), RESET_AFTER_MS);
    return;
  }
  if (defect === 'hang' && count % DEFECT_ONE_IN === 0) return;
  setTimeout(() => {
    if (!response.headersSent) response.writeHead(504).end();
  }, route.timeout_ms);
  if (!server || adapter !== undefined || isBarred(incoming)) {
    response.writeHead(503).end();
    return;
  }
  if (defect === 'limit' || defect === 'holders') void order(choose('engine', 'm1') ?? server);
  const isAffected = count % DEFECT_ONE_IN === 0 && path.startsWith('/charge');
  passedOn.add(incoming.socket);
  response.on('close', () => passedOn.delete(incoming.socket));
  if (defect === 'closes-kept' && count % DEFECT_ONE_IN === 0) {
    setTimeout(() => incoming.socket.destroy(), CLOSE_AFTER_MS);
  }
  if (defect === 'twice' && isAffected) send(incoming, server, () => undefined);
  send(
    incoming,
    server,
    (status, headers, body) => {
      if (status === 502) for (const part of partsOf(incoming)) barred.add(part);
      if (defect === 'false-refusal' && isAffected) response.writeHead(503).end();
      else if (defect === 'retries' && status >= 500) retry(incoming, response, server, status);
      else forward(response, status, headers, body);
    },
    response,
  );
}

if (defect === 'exits') setTimeout(() => process.exit(1), READ_EVERY_MS * 10);
process.on('SIGHUP', () => {
  if (defect === 'cuts-on-hangup') cutPassedOn();
});
const listener = createServer(serve);
process.on('SIGTERM', () => {
  if (defect === 'cut') process.exit(0);
  if (defect === 'cuts-on-stop') cutPassedOn();
  listener.close(() => process.exit(0));
  listener.closeIdleConnections();
});
const [host, port] = settings.callersAddress.split(':');
const readiness = createServer((_, response) => response.writeHead(200).end());
readiness.listen(Number(settings.readinessAddress.split(':')[1]), host);
readiness.unref();
listener.listen(Number(port), host, () => {
  void read();
});
