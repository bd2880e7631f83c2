import type { IncomingMessage, ServerResponse } from 'node:http';
import { LoopbackServer } from '../loopbackserver.js';
import { sendJson } from '../sendjson.js';

/** What a server does with the next request. */
export type ServerManner =
  | 'serve'
  /** As `serve`, but only after a while. */
  | 'slow'
  | 'full'
  /** Turns the request away and wants nothing from the entry for a while. */
  | 'pause'
  | 'error'
  | 'reset'
  | 'silent'
  | 'other-id'
  | 'encoded'
  | 'unsigned'
  | 'cut'
  | 'unframed'
  | 'paused'
  | 'extra';

interface Order {
  readonly op: 'load' | 'unload';
  readonly model: string;
  readonly adapter?: string;
  readonly expected?: number;
  readonly holder: string;
  readonly fencing_token: number;
}

/** A request that came, and what became of it here. */
interface Seen {
  readonly id: string;
  readonly path: string;
  readonly atMs: number;
  readonly manner: ServerManner;
  /** Whose request it is, as the entry said, and whether the caller's own credential came with it. */
  readonly customer: string | undefined;
  readonly hasCredential: boolean;
  /** When its connection closed. */
  closedAtMs: number | undefined;
}

/** A request that it turned away. */
interface TurnedAway {
  readonly id: string;
  readonly atMs: number;
  /** For how long it wanted nothing more from the entry that sent it; undefined if it did not say. */
  readonly pauseMs: number | undefined;
}

/** A time in which it named a limit. */
interface LimitSpan {
  readonly perS: number;
  readonly fromMs: number;
  untilMs: number | undefined;
}

/** An order that came, and when. */
interface SeenOrder {
  readonly order: Order;
  readonly atMs: number;
}

/** What happens to the next order: its answer is lost, or it is carried out only after this many ms. */
type OrderFault = { readonly type: 'answer-lost' } | { readonly type: 'late'; readonly ms: number };

/** Models and adapters that it has room for; what is ordered beyond them is counted. */
const MODEL_PLACES = 2;
const ADAPTER_PLACES = 2;
const SLOW_MS = 400;
const MS_PER_S = 1000;
const EVENTS = 5;
const BODY = 'the whole answer';

/** One server of the prepared platform: runs requests, takes orders, and misbehaves as told. */
export class PlatformServer {
  /** Manners of the next requests; `serve` once they are used up. */
  readonly manners: ServerManner[] = [];

  /** Headers of the requests that ran, in order. */
  readonly ran: IncomingMessage['headers'][] = [];

  readonly orders: Order[] = [];

  /** Every request that was run, in order. */
  readonly seen: Seen[] = [];

  /** Every request that it turned away, in order. */
  readonly turnedAway: TurnedAway[] = [];

  /** Every order that came, in order. */
  readonly seenOrders: SeenOrder[] = [];

  /** Faults of the next orders. */
  readonly orderFaults: OrderFault[] = [];

  /** Loads for which it had no room. */
  overfullCount = 0;

  /** Adapters of each model that it holds. */
  readonly models = new Map<string, Set<string>>();

  address = '';

  /** Unix ms of its start; a restart is a newer one, also within the same ms. */
  private startedAtMs = Date.now();

  /** Orders of earlier starts: a start counts anew. */
  private ordersBefore = 0;

  private namedLimitPerS: number | undefined;

  private readonly server = new LoopbackServer((request, response) =>
    this.handle(request, response),
  );

  /** Ends a stream that stands still. */
  resume: () => void = () => {};

  /** Called after an order, so that a test can write the server's entry anew. */
  changed: () => void = () => {};

  /** Paths whose requests end this server, by how many ms after their run began. */
  crashing: ReadonlyMap<string, number> = new Map();

  /** Called when it has ended under a request. */
  crashed: () => void = () => {};

  isDown = false;

  /** The limits that it has named, with the times at which it did. */
  readonly limitSpans: LimitSpan[] = [];

  /** When it started again. */
  readonly restartedAtMs: number[] = [];

  /** Says in all its answers that it leaves. */
  isLeaving = false;

  /** What it says to those that it turns away with `pause`. */
  pauseText = '30';

  constructor(
    readonly id: string,
    readonly service: string,
    readonly availabilityZone = 'z1',
  ) {}

  async listen(): Promise<void> {
    this.address = (await this.server.listen()).slice('http://'.length);
  }

  close(): void {
    this.server.close();
  }

  /** Starts again under its id: holds and knows nothing of before. Its connections are whoever's calls this to reset. */
  restart(): void {
    this.startedAtMs = Math.max(Date.now(), this.startedAtMs + 1);
    this.ordersBefore = this.orders.length;
    this.models.clear();
    this.manners.length = 0;
    this.limitPerS = undefined;
    this.isLeaving = false;
    this.restartedAtMs.push(performance.now());
    this.changed();
  }

  /** Requests a second that it takes from all entries together, as all its answers say; undefined without a limit. */
  set limitPerS(perS: number | undefined) {
    const nowMs = performance.now();
    const last = this.limitSpans.at(-1);
    if (last && last.untilMs === undefined) last.untilMs = nowMs;
    if (perS !== undefined) this.limitSpans.push({ perS, fromMs: nowMs, untilMs: undefined });
    this.namedLimitPerS = perS;
  }

  /** What it writes about itself in the store. */
  entry(state = 'ready'): object {
    const models = [...this.models].map(([name, adapters]) => ({
      name,
      version: 1,
      adapters: [...adapters],
    }));
    const { service, address, availabilityZone: zone } = this;
    const born = this.startedAtMs;
    return { service, address, zone, version: 'v1', slots: 4, state, seq: 1, born, models };
  }

  /** Ends at once, with every connection; whoever calls this lets another start come. */
  crash(): void {
    if (this.isDown) return;
    this.isDown = true;
    this.limitPerS = undefined;
    this.close();
    this.crashed();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
    if (request.headers['tarragonstile-expect-instance'] !== this.id) {
      sendJson(response, 421, {});
      return;
    }
    const body = Buffer.concat(chunks).toString('utf8');
    if (request.url === '/order') {
      this.takeOrder(JSON.parse(body) as Order, request, response);
      return;
    }
    if (request.url === '/report') {
      sendJson(response, 200, { ...this.entry(), seq: this.orderCount });
    } else this.serve(request, response);
  }

  private takeOrder(order: Order, request: IncomingMessage, response: ServerResponse): void {
    this.seenOrders.push({ order, atMs: performance.now() });
    const fault = this.orderFaults.shift();
    if (!fault) {
      sendJson(response, this.order(order), {});
      return;
    }
    if (fault.type === 'late') setTimeout(() => this.order(order), fault.ms);
    else this.order(order);
    request.socket.resetAndDestroy();
  }

  /** Carries an order out, and gives the status to answer with. */
  private order(order: Order): number {
    if (order.expected !== undefined && order.expected !== this.orderCount) return 409;
    this.orders.push(order);
    const adapters = this.models.get(order.model);
    const isLoad = order.op === 'load';
    if (order.adapter !== undefined) adapters?.[isLoad ? 'add' : 'delete'](order.adapter);
    else if (isLoad) this.models.set(order.model, new Set());
    else this.models.delete(order.model);
    this.countOverfull();
    this.changed();
    return order.adapter !== undefined && !isLoad ? 200 : 202;
  }

  /** Orders that it has accepted since its start. */
  private get orderCount(): number {
    return this.orders.length - this.ordersBefore;
  }

  private countOverfull(): void {
    let adapterCount = 0;
    for (const adapters of this.models.values()) adapterCount += adapters.size;
    if (this.models.size > MODEL_PLACES || adapterCount > ADAPTER_PLACES) this.overfullCount += 1;
  }

  private holds(name: string | undefined): boolean {
    if (name === undefined) return true;
    const [model = '', adapter] = name.split('/');
    const adapters = this.models.get(model);
    return adapters !== undefined && (adapter === undefined || adapters.has(adapter));
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    const model = request.headers['tarragonstile-model'] as string | undefined;
    if (!this.holds(model)) {
      response.writeHead(421, { 'tarragonstile-not-executed': '1' }).end();
      return;
    }
    const manner = this.manners.shift() ?? 'serve';
    if (manner === 'full' || manner === 'pause') {
      this.turnAway(request, response, manner === 'pause');
      return;
    }
    this.ran.push(request.headers);
    const id = String(request.headers['tarragonstile-request-id']);
    const path = request.url ?? '';
    const { headers } = request;
    const seen: Seen = {
      id,
      path,
      atMs: performance.now(),
      manner,
      customer: headers['tarragonstile-tenant'] as string | undefined,
      hasCredential: headers.authorization !== undefined,
      closedAtMs: undefined,
    };
    this.seen.push(seen);
    response.on('close', () => {
      seen.closedAtMs = performance.now();
    });
    const crashAfterMs = this.crashing.get(request.url ?? '');
    if (crashAfterMs !== undefined) {
      setTimeout(() => this.crash(), crashAfterMs);
      return;
    }
    if (manner === 'silent') return;
    if (manner === 'reset') request.socket.resetAndDestroy();
    else if (manner === 'slow') {
      setTimeout(() => this.answer(model, request, response, manner), SLOW_MS);
    } else this.answer(model, request, response, manner);
  }

  private turnAway(request: IncomingMessage, response: ServerResponse, isPause: boolean): void {
    const id = String(request.headers['tarragonstile-request-id']);
    const pauseMs = isPause ? Number(this.pauseText) * MS_PER_S : undefined;
    this.turnedAway.push({ id, atMs: performance.now(), pauseMs });
    const headers: Record<string, string> = { 'tarragonstile-not-executed': '1', ...this.said() };
    if (isPause) headers['retry-after'] = this.pauseText;
    response.writeHead(503, headers).end();
  }

  /** What it says of itself in all its answers. */
  private said(): Record<string, string> {
    const said: Record<string, string> = {};
    if (this.namedLimitPerS !== undefined) said['server-limit'] = String(this.namedLimitPerS);
    if (this.isLeaving) said['server-leaving'] = '1';
    return said;
  }

  private answer(
    model: string | undefined,
    request: IncomingMessage,
    response: ServerResponse,
    manner: ServerManner,
  ): void {
    if (model === undefined) this.plain(request, response, manner);
    else this.stream(request, response, manner);
  }

  private headersOf(request: IncomingMessage, manner: ServerManner): Record<string, string> {
    const id =
      manner === 'other-id' ? 'another' : String(request.headers['tarragonstile-request-id']);
    const headers: Record<string, string> = {
      'tarragonstile-request-id': id,
      'tarragonstile-weight-versions': '1',
      'tarragonstile-server-load': '1,0,4',
      ...this.said(),
    };
    if (manner !== 'unsigned') headers['tarragonstile-response-signature'] = `by-${this.id}`;
    if (manner === 'encoded') headers['content-encoding'] = 'gzip';
    return headers;
  }

  private plain(request: IncomingMessage, response: ServerResponse, manner: ServerManner): void {
    const headers = this.headersOf(request, manner);
    const { socket } = request;
    if (manner === 'error') {
      response.writeHead(500, headers).end('no');
      return;
    }
    if (manner === 'unframed') {
      const head = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
      socket.write(
        `HTTP/1.1 200 OK\r\n${head.join('')}Connection: close\r\n\r\n${BODY.slice(0, 4)}`,
      );
      setImmediate(() => socket.resetAndDestroy());
      return;
    }
    response.writeHead(200, { ...headers, 'content-length': BODY.length });
    if (manner === 'cut') {
      response.write(BODY.slice(0, 4), () => socket.resetAndDestroy());
      return;
    }
    response.end(BODY, () => {
      if (manner === 'extra') socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno');
    });
  }

  private stream(request: IncomingMessage, response: ServerResponse, manner: ServerManner): void {
    const from = Number(request.headers['last-event-id'] ?? 0);
    response.writeHead(200, {
      ...this.headersOf(request, manner),
      'content-type': 'text/event-stream',
    });
    if (manner === 'paused') {
      response.write('id: 1\ndata: piece 1\n\n');
      this.resume = () => response.end('id: 2\ndata: piece 2\n\n');
      return;
    }
    for (let id = from + 1; id <= EVENTS; id += 1) {
      const event = `id: ${id}\ndata: piece ${id}\n\n`;
      if (manner === 'cut' && id === from + 3) {
        // Breaks off in the middle of an event.
        response.write(event.slice(0, 8), () => request.socket.resetAndDestroy());
        return;
      }
      response.write(event);
    }
    response.end();
  }
}
