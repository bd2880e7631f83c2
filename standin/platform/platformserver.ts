import type { IncomingMessage, ServerResponse } from 'node:http';
import { LoopbackServer } from '../loopbackserver.js';
import { sendJson } from '../sendjson.js';
import type { Endless } from './endless.js';
import { sendEndless } from './sendendless.js';
import type { SlotGate } from './slotgate.js';

/** How a server handles the next request. */
export type ServerBehavior =
  | 'serve'
  /** Like `serve`, but after a delay. */
  | 'slow'
  /** Refuses the request. */
  | 'full'
  /** Refuses the request and asks the entry for a backoff. */
  | 'pause'
  | 'error'
  | 'reset'
  /** Sends no answer. */
  | 'silent'
  /** Sends the id of another request in the answer. */
  | 'other-id'
  | 'encoded'
  | 'unsigned'
  | 'cut'
  /** Sends part of an answer without a length and resets the connection. */
  | 'unframed'
  /** Sends a whole stream without a length, which ends with its connection. */
  | 'unframed-whole'
  /** Sends a stream without a length and closes the connection in an orderly way inside an event. */
  | 'unframed-cut'
  /** Like `unframed-cut`, but between two events. */
  | 'unframed-short'
  /** Sends bytes that are not an HTTP response. */
  | 'rubbish'
  /** Begins an event that has no end. */
  | 'endless-event'
  /** Answers with status 400 after it has run the request. */
  | 'bad-request'
  /** Sends the first event of a stream; `resumeStream` sends the rest. */
  | 'paused'
  /** Sends an unsolicited second answer. */
  | 'extra';

/** How a server crashes that begins to answer a request. */
interface PartCrash {
  /** Time from the start of the run to the crash, in ms. */
  readonly afterMs: number;
  /** How much of the answer is sent before it. */
  readonly sends: 'nothing' | 'one-event' | 'unframed-cut' | 'unframed-short';
}

interface Order {
  readonly op: 'load' | 'unload';
  readonly model: string;
  readonly adapter?: string;
  readonly expected?: number;
  readonly holder: string;
  readonly fencing_token: number;
}

/** A request that was run, and its outcome. */
interface RequestRecord {
  readonly id: string;
  readonly path: string;
  /** Parts of its prompt but the last. */
  readonly sharedParts: readonly string[];
  readonly atMs: number;
  /** `endless` if its answer had no end. */
  readonly behavior: ServerBehavior | 'endless';
  /** Customer that the entry named in the request. */
  readonly customer: string | undefined;
  /** True if the request carried the caller's own credential. */
  readonly hasCredential: boolean;
  /** When the connection closed. */
  closedAtMs: number | undefined;
}

/** A request that was refused. */
interface RefusalRecord {
  readonly id: string;
  readonly atMs: number;
  /** Backoff that the entry was asked for; undefined if none. */
  readonly backoffMs: number | undefined;
}

/** A period in which the server announced a rate limit. */
interface LimitSpan {
  readonly perS: number;
  readonly fromMs: number;
  untilMs: number | undefined;
}

/** An order that was received. */
interface OrderRecord {
  readonly order: Order;
  readonly atMs: number;
}

/** The models that a server holds from a time on. */
interface ResidencyRecord {
  readonly atMs: number;
  readonly models: readonly string[];
}

/** Fault of the next order: its answer is lost; with `late`, it is also executed only after `ms`. */
type OrderFault = { readonly type: 'answer-lost' } | { readonly type: 'late'; readonly ms: number };

/** Capacity for models and adapters; loads beyond it are counted as overcommits. */
const MODEL_SLOTS = 2;
const ADAPTER_SLOTS = 2;
const SLOW_MS = 400;
/** Time that a plain request takes at the usual pace, where slots are enforced. */
const PLAIN_WORK_MS = 250;
/** Paths of requests that an entry sends on its own account. */
const CONTROL_PATHS: ReadonlySet<string> = new Set(['/order', '/report']);
const MS_PER_S = 1000;
const BODY = 'the whole answer';

/** Returns the ids of the parts of a request's prompt, but for the last one. */
function sharedPartsOf({ headers }: IncomingMessage): readonly string[] {
  const header = (headers['tarragonstile-prompt-prefix'] as string | undefined) ?? '';
  return header
    .split(',')
    .slice(0, -1)
    .map((part) => part.split(':')[0]!);
}

/** A stand-in for a server of the platform. Runs requests, accepts orders and injects faults on demand. */
export class PlatformServer {
  /** How the next requests are handled; `serve` once the list is empty. */
  readonly behaviors: ServerBehavior[] = [];

  /** What it sends to whatever it is asked, also to orders and for reports; undefined while it is sound. */
  endless: Endless | undefined;

  /** Headers of the requests that were run, in order. */
  readonly runs: IncomingMessage['headers'][] = [];

  /** Orders that were accepted, in order. */
  readonly orders: Order[] = [];

  /** Every request that was run, in order. */
  readonly requestLog: RequestRecord[] = [];

  /** Number of requests that it says it can run at a time. */
  slots = 4;

  /** How much longer it is slow after its start, as its record says. */
  coldRemainingMs = 0;

  /** Every request that was refused, in order. */
  readonly refusals: RefusalRecord[] = [];

  /** Every order that was received, in order. */
  readonly orderLog: OrderRecord[] = [];

  /** The models that it holds, after each order and restart. */
  readonly residencyLog: ResidencyRecord[] = [];

  /** Enforces the slots and sets the pace of the work; without one, requests never wait and plain ones take no time. */
  gate: SlotGate | undefined;

  /** Faults of the next orders. */
  readonly orderFaults: OrderFault[] = [];

  /** Number of orders after which models or adapters exceeded the capacity. */
  overcommitCount = 0;

  /** Loaded models with their adapters. */
  readonly models = new Map<string, Set<string>>();

  address = '';

  /** Version of its software, as its record and its streams' events name it. */
  softwareVersion = 'v1';

  /** Events of a whole stream. */
  eventCount = 5;

  /** Pause before each event of a stream, in ms. */
  eventGapMs = 0;

  /** Version of the weights of all its models. */
  weightsVersion = 1;

  /** Unix time of the start, in ms. Increases with every restart, also within the same ms. */
  private startedAtMs = Date.now();

  /** Number of orders accepted before the last restart, which resets the reported count. */
  private earlierOrderCount = 0;

  private namedLimitPerS: number | undefined;

  private readonly server = new LoopbackServer((request, response) =>
    this.handle(request, response),
  );

  /** Completes a stream that `paused` has interrupted. */
  resumeStream: () => void = () => {};

  /** Called after each order and restart, so that a test can update the server's record in the store. */
  onChange: () => void = () => {};

  /** Paths whose requests crash this server, with the delay from the start of the run to the crash, in ms. */
  crashDelayMsByPath: ReadonlyMap<string, number> = new Map();

  /** Parts of prompts that crash this server when it begins an answer, at any place of a prompt but the last. */
  crashByPart: ReadonlyMap<string, PartCrash> = new Map();

  /** Called when the server has crashed. */
  onCrash: () => void = () => {};

  isDown = false;

  /** The rate limits that were announced, with their periods. */
  readonly limitSpans: LimitSpan[] = [];

  /** Times of the restarts. */
  readonly restartedAtMs: number[] = [];

  /** Marks the server as leaving in all its answers. */
  isLeaving = false;

  /** Value of `Retry-After` in answers of `pause`. */
  retryAfterText = '30';

  constructor(
    readonly id: string,
    readonly service: string,
    readonly availabilityZone = 'z1',
  ) {}

  async listen(): Promise<void> {
    this.address = (await this.server.listen()).slice('http://'.length);
    this.recordResidency();
  }

  close(): void {
    this.server.close();
  }

  /** Restarts under the same id and loses all state. The caller has to reset the connections. */
  restart(): void {
    this.startedAtMs = Math.max(Date.now(), this.startedAtMs + 1);
    this.earlierOrderCount = this.orders.length;
    this.models.clear();
    this.recordResidency();
    this.behaviors.length = 0;
    this.limitPerS = undefined;
    this.isLeaving = false;
    this.restartedAtMs.push(performance.now());
    this.onChange();
  }

  /** Requests per second that the server accepts from all entries together; announced in all answers. */
  set limitPerS(perS: number | undefined) {
    const nowMs = performance.now();
    const last = this.limitSpans.at(-1);
    if (last && last.untilMs === undefined) last.untilMs = nowMs;
    if (perS !== undefined) this.limitSpans.push({ perS, fromMs: nowMs, untilMs: undefined });
    this.namedLimitPerS = perS;
  }

  /** Returns the record that the server writes to the store. */
  entry(state = 'ready'): object {
    const models = [...this.models].map(([name, adapters]) => ({
      name,
      version: this.weightsVersion,
      adapters: [...adapters],
    }));
    const { service, address, availabilityZone: zone } = this;
    const born = this.startedAtMs;
    return {
      service,
      address,
      zone,
      version: this.softwareVersion,
      slots: this.slots,
      state,
      seq: 1,
      born,
      models,
      cold_remaining_ms: this.coldRemainingMs,
    };
  }

  /** Stops at once and closes every connection. The test starts a successor. */
  crash(): void {
    if (this.isDown) return;
    this.isDown = true;
    this.limitPerS = undefined;
    this.close();
    this.onCrash();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
    if (this.endless) {
      if (!CONTROL_PATHS.has(request.url ?? '')) this.record(request, response, 'endless');
      sendEndless(request.socket, this.endless, this.headersOf(request, 'serve'));
      return;
    }
    if (request.headers['tarragonstile-expect-instance'] !== this.id) {
      sendJson(response, 421, {});
      return;
    }
    const body = Buffer.concat(chunks).toString('utf8');
    if (request.url === '/order') {
      this.receiveOrder(JSON.parse(body) as Order, request, response);
      return;
    }
    if (request.url === '/report') {
      sendJson(response, 200, { ...this.entry(), seq: this.orderCount });
    } else this.serve(request, response);
  }

  private receiveOrder(order: Order, request: IncomingMessage, response: ServerResponse): void {
    this.orderLog.push({ order, atMs: performance.now() });
    const fault = this.orderFaults.shift();
    if (!fault) {
      sendJson(response, this.order(order), {});
      return;
    }
    if (fault.type === 'late') setTimeout(() => this.order(order), fault.ms);
    else this.order(order);
    request.socket.resetAndDestroy();
  }

  /** Executes an order and returns the status of the answer. */
  private order(order: Order): number {
    if (order.expected !== undefined && order.expected !== this.orderCount) return 409;
    this.orders.push(order);
    const adapters = this.models.get(order.model);
    const isLoad = order.op === 'load';
    if (order.adapter !== undefined) adapters?.[isLoad ? 'add' : 'delete'](order.adapter);
    else if (isLoad) this.models.set(order.model, new Set());
    else this.models.delete(order.model);
    this.countOvercommit();
    this.recordResidency();
    this.onChange();
    return order.adapter !== undefined && !isLoad ? 200 : 202;
  }

  private recordResidency(): void {
    this.residencyLog.push({ atMs: performance.now(), models: [...this.models.keys()] });
  }

  /** Number of orders accepted since the last restart. */
  private get orderCount(): number {
    return this.orders.length - this.earlierOrderCount;
  }

  private countOvercommit(): void {
    let adapterCount = 0;
    for (const adapters of this.models.values()) adapterCount += adapters.size;
    if (this.models.size > MODEL_SLOTS || adapterCount > ADAPTER_SLOTS) this.overcommitCount += 1;
  }

  private holds(name: string | undefined): boolean {
    if (name === undefined) return true;
    const [model = '', adapter] = name.split('/');
    const adapters = this.models.get(model);
    return adapters !== undefined && (adapter === undefined || adapters.has(adapter));
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    const model = request.headers['tarragonstile-model'] as string | undefined;
    const expected = request.headers['tarragonstile-expect-version'] ?? String(this.weightsVersion);
    if (!this.holds(model) || expected !== String(this.weightsVersion)) {
      response.writeHead(421, { 'tarragonstile-not-executed': '1' }).end();
      return;
    }
    const run = () => this.run(model, request, response);
    const id = String(request.headers['tarragonstile-request-id']);
    if (!this.gate) run();
    else if (!this.gate.enter(id, response, run)) this.refuse(request, response, false);
  }

  private run(model: string | undefined, request: IncomingMessage, response: ServerResponse): void {
    const behavior = this.behaviors.shift() ?? 'serve';
    if (behavior === 'full' || behavior === 'pause') {
      this.refuse(request, response, behavior === 'pause');
      return;
    }
    const { sharedParts } = this.record(request, response, behavior);
    const crashAfterMs = this.crashDelayMsByPath.get(request.url ?? '');
    if (crashAfterMs !== undefined) {
      setTimeout(() => this.crash(), crashAfterMs);
      return;
    }
    const crashingPart = sharedParts.find((part) => this.crashByPart.has(part));
    if (crashingPart !== undefined) {
      this.crashUnder(request, response, this.crashByPart.get(crashingPart)!);
      return;
    }
    if (behavior === 'silent') return;
    if (behavior === 'reset') request.socket.resetAndDestroy();
    else if (behavior === 'rubbish') request.socket.write('rubbish\r\n\r\n');
    else {
      const workMs = model === undefined && this.gate ? PLAIN_WORK_MS * this.gate.factor : 0;
      const delayMs = behavior === 'slow' ? SLOW_MS : workMs;
      const isDelayed = delayMs > 0 && (behavior === 'slow' || behavior === 'serve');
      const answer = () => this.answer(model, request, response, behavior);
      if (isDelayed) setTimeout(answer, delayMs);
      else answer();
    }
  }

  private record(
    request: IncomingMessage,
    response: ServerResponse,
    behavior: RequestRecord['behavior'],
  ): RequestRecord {
    const { headers } = request;
    this.runs.push(headers);
    const record: RequestRecord = {
      id: String(headers['tarragonstile-request-id']),
      path: request.url ?? '',
      sharedParts: sharedPartsOf(request),
      atMs: performance.now(),
      behavior,
      customer: headers['tarragonstile-tenant'] as string | undefined,
      hasCredential: headers.authorization !== undefined,
      closedAtMs: undefined,
    };
    this.requestLog.push(record);
    response.on('close', () => {
      record.closedAtMs = performance.now();
    });
    return record;
  }

  private crashUnder(
    request: IncomingMessage,
    response: ServerResponse,
    { afterMs, sends }: PartCrash,
  ): void {
    if (sends === 'one-event') {
      response.writeHead(200, this.headersOf(request, 'serve'));
      response.write(this.eventOf(1));
    } else if (sends !== 'nothing') this.unframedStream(request, sends, 1);
    setTimeout(() => this.crash(), afterMs);
  }

  /** Writes a stream without a length; the caller ends its connection. */
  private unframedStream(
    request: IncomingMessage,
    behavior: 'unframed-whole' | 'unframed-cut' | 'unframed-short',
    from: number,
  ): void {
    const head = Object.entries(this.headersOf(request, behavior));
    const lines = [...head, ['content-type', 'text/event-stream']].map(
      ([name, value]) => `${name}: ${value}\r\n`,
    );
    const { eventCount } = this;
    const last = behavior === 'unframed-whole' ? eventCount : Math.min(from + 1, eventCount - 1);
    let events = '';
    for (let id = from; id <= last; id += 1) events += this.eventOf(id);
    if (behavior === 'unframed-cut') events += this.eventOf(last + 1).slice(0, 8);
    request.socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}Connection: close\r\n\r\n${events}`);
  }

  private refuse(request: IncomingMessage, response: ServerResponse, isPause: boolean): void {
    const id = String(request.headers['tarragonstile-request-id']);
    const backoffMs = isPause ? Number(this.retryAfterText) * MS_PER_S : undefined;
    this.refusals.push({ id, atMs: performance.now(), backoffMs });
    const headers: Record<string, string> = {
      'tarragonstile-not-executed': '1',
      ...this.stateHeaders(),
    };
    if (isPause) headers['retry-after'] = this.retryAfterText;
    response.writeHead(503, headers).end();
  }

  /** Returns the headers with which all answers report the server's state. */
  private stateHeaders(): Record<string, string> {
    const headers: Record<string, string> = {};
    if (this.namedLimitPerS !== undefined) headers['server-limit'] = String(this.namedLimitPerS);
    if (this.isLeaving) headers['server-leaving'] = '1';
    return headers;
  }

  private answer(
    model: string | undefined,
    request: IncomingMessage,
    response: ServerResponse,
    behavior: ServerBehavior,
  ): void {
    if (model === undefined) this.plain(request, response, behavior);
    else this.stream(request, response, behavior);
  }

  private headersOf(request: IncomingMessage, behavior: ServerBehavior): Record<string, string> {
    const id =
      behavior === 'other-id' ? 'another' : String(request.headers['tarragonstile-request-id']);
    const headers: Record<string, string> = {
      'tarragonstile-request-id': id,
      'tarragonstile-weight-versions': String(this.weightsVersion),
      'tarragonstile-server-load': this.gate?.load ?? `1,0,${this.slots}`,
      ...this.stateHeaders(),
    };
    if (behavior !== 'unsigned') headers['tarragonstile-response-signature'] = `by-${this.id}`;
    if (behavior === 'encoded') headers['content-encoding'] = 'gzip';
    return headers;
  }

  private plain(
    request: IncomingMessage,
    response: ServerResponse,
    behavior: ServerBehavior,
  ): void {
    const headers = this.headersOf(request, behavior);
    const { socket } = request;
    if (behavior === 'error') {
      response.writeHead(500, headers).end('no');
      return;
    }
    if (behavior === 'bad-request') {
      response.writeHead(400, headers).end('no');
      return;
    }
    if (behavior === 'unframed') {
      const head = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
      socket.write(
        `HTTP/1.1 200 OK\r\n${head.join('')}Connection: close\r\n\r\n${BODY.slice(0, 4)}`,
      );
      setImmediate(() => socket.resetAndDestroy());
      return;
    }
    response.writeHead(200, { ...headers, 'content-length': BODY.length });
    if (behavior === 'cut') {
      response.write(BODY.slice(0, 4), () => socket.resetAndDestroy());
      return;
    }
    response.end(BODY, () => {
      if (behavior === 'extra') socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno');
    });
  }

  private eventOf(id: number): string {
    return `id: ${id}\ndata: piece ${id} by ${this.softwareVersion}\n\n`;
  }

  /** Writes one event until the connection closes. */
  private writeEndless(response: ServerResponse): void {
    const write = () => {
      while (!response.destroyed && response.write('data: '.repeat(1000)));
    };
    response.on('drain', write);
    write();
  }

  /** Writes the events from this one on, each after a pause. */
  private writePaced(response: ServerResponse, id: number): void {
    if (response.destroyed) return;
    if (id > this.eventCount) {
      response.end();
      return;
    }
    setTimeout(
      () => {
        response.write(this.eventOf(id));
        this.writePaced(response, id + 1);
      },
      this.eventGapMs * (this.gate?.factor ?? 1),
    );
  }

  private stream(
    request: IncomingMessage,
    response: ServerResponse,
    behavior: ServerBehavior,
  ): void {
    const from = Number(request.headers['last-event-id'] ?? 0);
    if (behavior === 'bad-request') {
      response.writeHead(400, this.headersOf(request, behavior)).end('no');
      return;
    }
    if (
      behavior === 'unframed-whole' ||
      behavior === 'unframed-cut' ||
      behavior === 'unframed-short'
    ) {
      this.unframedStream(request, behavior, from + 1);
      request.socket.end();
      return;
    }
    response.writeHead(200, {
      ...this.headersOf(request, behavior),
      'content-type': 'text/event-stream',
    });
    if (behavior === 'paused') {
      response.write(this.eventOf(from + 1));
      this.resumeStream = () => response.end(this.eventOf(from + 2));
      return;
    }
    if (behavior === 'endless-event') {
      this.writeEndless(response);
      return;
    }
    if (behavior === 'serve' && this.eventGapMs > 0) {
      this.writePaced(response, from + 1);
      return;
    }
    for (let id = from + 1; id <= this.eventCount; id += 1) {
      const event = this.eventOf(id);
      if (behavior === 'cut' && id === from + 3) {
        // Cuts the stream in the middle of an event.
        response.write(event.slice(0, 8), () => request.socket.resetAndDestroy());
        return;
      }
      response.write(event);
    }
    response.end();
  }
}
