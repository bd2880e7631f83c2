import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import {
  result,
  type Clock,
  type Ms,
  type RequestId,
  type Revision,
  type TraitId,
} from '../../base/index.js';
import type {
  ChangeFeed,
  Log,
  Metrics,
  StoreFailure,
  Swap,
  SwapOutcome,
} from '../../port/index.js';
import { parseJson } from '../../core/shape/index.js';
import { readWithin } from '../../shell/body/index.js';
import { ConnectionGuard } from '../../shell/callers/index.js';
import { callOnce, Channel } from '../../shell/http1/index.js';
import type { ListedSuspect } from '../../core/poison/index.js';
import type { OriginAnswer, OriginCopy } from '../origin/index.js';
import type { TrialRequest } from '../poison/index.js';
import type { CustomerState, DrawAnswer, DrawRequest } from '../quota/index.js';
import type { Target } from '../route/index.js';
import type { SlotAnswer, SlotRequest } from '../selfreport/index.js';
import type { DemandAnswer } from './demandanswer.js';
import type { DemandReport } from './demandreport.js';
import type { FindAnswer } from './findanswer.js';
import { peerShapes } from './peershapes.js';

/** Requests that other entries may send to this one. */
interface PeerHandlers {
  find(target: Target): Promise<FindAnswer>;
  demand(report: DemandReport): DemandAnswer;
  /** Returns the store's changes after a revision, waiting for one for at most `waitMs`. */
  changes(request: ChangesRequest): ReturnType<ChangeFeed['changes']>;
  /** Performs a write for an entry that cannot reach the store. */
  swap(swap: Swap): ReturnType<ChangeFeed['swap']>;
  /** Grants tokens of a customer's quota for one request. */
  draw(request: DrawRequest): DrawAnswer;
  /** Grants a slot: a time at which a request may be sent to an upstream with a rate limit. */
  slot(request: SlotRequest): Promise<SlotAnswer>;
  /** True if a request with suspected traits may run as a trial at another entry now. */
  trial(request: TrialRequest): boolean;
  /** Keeps copies of what streams of another entry began with. */
  copyOrigins(copies: readonly OriginCopy[]): void;
  /** Stores copies of what streams of another entry began with. Returns false if this entry does not hold the lease. */
  storeOrigins(copies: readonly OriginCopy[]): boolean;
  /** Returns what is known of the stream that began with this request. */
  origin(id: RequestId): OriginAnswer;
  /** Returns customers, their limits and their use, for an operator. */
  customers(): readonly CustomerState[] | undefined;
  /** Returns suspected queries of death, for an operator. */
  suspects(): readonly ListedSuspect[];
  /** Clears a trait of suspicion. Returns false if it was not suspected. */
  lift(trait: TraitId): boolean;
}

/** A request for the store's changes. */
interface ChangesRequest {
  readonly after: Revision;
  readonly waitMs: Ms;
}

type Changes = Extract<Awaited<ReturnType<ChangeFeed['changes']>>, { ok: true }>['val'];

/** The answer to a request for changes on the wire between entries. */
type RelayedChanges =
  | { readonly ok: true; readonly changes: Changes }
  | { readonly ok: false; readonly failure: StoreFailure };

/** A write's outcome on the wire between entries. */
type RelayedSwap =
  | { readonly ok: true; readonly outcome: SwapOutcome }
  | { readonly ok: false; readonly failure: StoreFailure };

const PATHS = {
  find: '/orders/find',
  demand: '/orders/demand',
  swap: '/orders/swap',
  changes: '/state/changes',
  draw: '/quota/draw',
  slot: '/limit/slot',
  customers: '/quota/list',
  trial: '/poison/trial',
  copyOrigins: '/streams/copy',
  storeOrigins: '/streams/store',
  origin: '/streams/find',
  suspects: '/poison/list',
  lift: '/poison/lift',
} as const;
type Name = keyof typeof PATHS;

const NAMES: ReadonlyMap<string, Name> = new Map(
  Object.entries(PATHS).map(([name, path]) => [path, name as Name]),
);
/** Statuses of requests without an answer, by the reason. */
const NO_ANSWER_STATUS = { unknown: 404, malformed: 400 } as const;
const CONNECT_TIMEOUT_MS = 250;
const IDLE_MS = 10_000;
/** Connections to an entry for questions of single requests, each with one question at a time. */
const CONNECTIONS = 16;
/** Connections for what an entry needs to stay up to date, which must not wait for questions of requests. */
const STATE_CONNECTIONS = 4;
const STATE_PATHS: ReadonlySet<string> = new Set([PATHS.changes, PATHS.demand, PATHS.swap]);
/** An entry that is up answers within milliseconds; loading an adapter takes up to 30 ms. */
const FIND_TIMEOUT_MS = 400;
const DEMAND_TIMEOUT_MS = 400;
/** A suspected request waits for this answer; an entry that is up gives it within milliseconds. */
const TRIAL_TIMEOUT_MS = 150;
/** A request whose target may be 250 ms waits for this answer; an entry that is up gives it within milliseconds. */
const DRAW_TIMEOUT_MS = 150;
/** A caller that resumes a stream waits for this answer; an entry that is up gives it within milliseconds. */
const ORIGIN_TIMEOUT_MS = 150;
/** Nobody waits for this answer. */
const COPY_TIMEOUT_MS = 2000;
/** Used to renew the order lease, which is not valid for much longer. */
const SWAP_TIMEOUT_MS = 500;
/** Margin beyond the wait of a request for changes: a round trip on a busy host. */
const CHANGES_MARGIN_MS = 200;
const MAX_BYTES = 262_144;
/** Limits on calls that other entries send. Each sends one call at a time on a connection. */
const LIMITS = {
  connections: Infinity,
  requestsAhead: 16,
  requestsUnderWay: 16,
  // Answers to entries that catch up may be large at all of them at once.
  heldBytes: Infinity,
  bodyIdleMs: 10_000,
  callerStallMs: 10_000,
} as const;

/** Parses a body; undefined if it is not JSON. */
function parse(body: Buffer): unknown {
  return parseJson(body.toString('utf8'));
}

async function readBody(request: IncomingMessage): Promise<unknown> {
  const body = await readWithin(request, MAX_BYTES);
  return body && parse(body);
}

/** Calls between entries: orders, demand, quotas, slots, suspected requests and the store. */
export class Peers {
  private readonly server: Server;

  private readonly channels = new Map<string, Channel>();

  private readonly stateChannels = new Map<string, Channel>();

  /** Addresses whose last call failed. */
  private readonly failed = new Set<string>();

  constructor(
    private readonly handlers: PeerHandlers,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly metrics: Metrics,
  ) {
    const guard = new ConnectionGuard({
      clock,
      log,
      limits: () => LIMITS,
      closed: (reason) => {
        metrics.count('direct.caller_closed', 1, { listener: 'entries', reason });
      },
      observed: () => undefined,
    });
    this.server = createServer({ requireHostHeader: false }, (request, response) => {
      guard.begin(response).whenTurn(() => {
        void this.answer(request, response);
      });
    });
  }

  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
    for (const channel of this.channels.values()) channel.close();
    for (const channel of this.stateChannels.values()) channel.close();
  }

  /** Returns undefined if the entry does not answer. */
  async find(address: string, target: Target): Promise<FindAnswer | undefined> {
    return (await this.ask(address, 'find', target, FIND_TIMEOUT_MS)) as FindAnswer | undefined;
  }

  /** Returns undefined if the entry does not answer. */
  async demand(address: string, report: DemandReport): Promise<DemandAnswer | undefined> {
    const answer = await this.ask(address, 'demand', report, DEMAND_TIMEOUT_MS);
    return answer as DemandAnswer | undefined;
  }

  /** Returns undefined if the entry does not answer. */
  async trial(address: string, request: TrialRequest): Promise<boolean | undefined> {
    const answer = await this.ask(address, 'trial', request, TRIAL_TIMEOUT_MS);
    return (answer as { mayRun: boolean } | undefined)?.mayRun;
  }

  /** Returns undefined if the entry does not answer. */
  async draw(address: string, request: DrawRequest): Promise<DrawAnswer | undefined> {
    const answer = await this.ask(address, 'draw', request, DRAW_TIMEOUT_MS);
    return answer as DrawAnswer | undefined;
  }

  /** Returns undefined if the entry does not answer. */
  async slot(address: string, request: SlotRequest): Promise<SlotAnswer | undefined> {
    const answer = await this.ask(address, 'slot', request, request.waitMs + DRAW_TIMEOUT_MS);
    return answer as SlotAnswer | undefined;
  }

  /** Sends copies of streams' origins. Returns false if the entry does not answer. */
  async copyOrigins(address: string, copies: readonly OriginCopy[]): Promise<boolean> {
    return (await this.ask(address, 'copyOrigins', { copies }, COPY_TIMEOUT_MS)) !== undefined;
  }

  /** Has the order lease holder store copies. Returns false if the entry does not answer, or is not the holder. */
  async storeOrigins(address: string, copies: readonly OriginCopy[]): Promise<boolean> {
    const answer = await this.ask(address, 'storeOrigins', { copies }, ORIGIN_TIMEOUT_MS);
    return (answer as { isStored: boolean } | undefined)?.isStored ?? false;
  }

  /** Returns undefined if the entry does not answer. */
  async origin(address: string, id: RequestId): Promise<OriginAnswer | undefined> {
    const answer = await this.ask(address, 'origin', { id }, ORIGIN_TIMEOUT_MS);
    return answer as OriginAnswer | undefined;
  }

  /** Returns the store's changes as another entry has read them; undefined if it does not answer. */
  async changes(
    address: string,
    request: ChangesRequest,
  ): Promise<Awaited<ReturnType<ChangeFeed['changes']>> | undefined> {
    const timeoutMs = request.waitMs + CHANGES_MARGIN_MS;
    const answer = await this.ask(address, 'changes', request, timeoutMs);
    const relayed = answer as RelayedChanges | undefined;
    if (!relayed) return undefined;
    return relayed.ok ? result.Ok(relayed.changes) : result.Err(relayed.failure);
  }

  /** Performs a write through another entry. */
  async swap(address: string, swap: Swap): ReturnType<ChangeFeed['swap']> {
    const answer = await this.ask(address, 'swap', swap, SWAP_TIMEOUT_MS);
    const relayed = answer as RelayedSwap | undefined;
    if (relayed?.ok) return result.Ok(relayed.outcome);
    const detail = `No answer from ${address}.`;
    return result.Err(relayed?.failure ?? { type: 'store-outcome-unknown', detail });
  }

  private async ask(address: string, name: Name, body: object, timeoutMs: Ms): Promise<unknown> {
    const path = PATHS[name];
    const channel = this.channelTo(address, path);
    const headers = ['Content-Type', 'application/json'];
    const payload = Buffer.from(JSON.stringify(body));
    const request = { method: 'POST', path, headers, body: payload };
    const answer = await callOnce(channel, request, this.clock, timeoutMs);
    this.countBytes(path, 'sent', payload.length);
    const receivedBytes = answer.err ? answer.val.receivedBytes : answer.val.body.length;
    const read = answer.err ? undefined : parse(answer.val.body);
    if (answer.err || answer.val.status !== 200 || !peerShapes.answers[name](read)) {
      this.countBytes(path, 'discarded', receivedBytes);
      const detail = answer.err ? answer.val.detail : `status ${answer.val.status}, or malformed`;
      if (!this.failed.has(address)) {
        this.log.warn('entry not reached', { address, path, detail, receivedBytes });
      }
      this.failed.add(address);
      return undefined;
    }
    this.countBytes(path, 'received', receivedBytes);
    if (this.failed.delete(address)) this.log.info('entry reached again', { address, path });
    return read;
  }

  private countBytes(path: string, fate: 'sent' | 'received' | 'discarded', bytes: number): void {
    if (bytes > 0) this.metrics.count('direct.peer_bytes', bytes, { path, fate });
  }

  private channelTo(address: string, path: string): Channel {
    const isState = STATE_PATHS.has(path);
    const channels = isState ? this.stateChannels : this.channels;
    let channel = channels.get(address);
    if (!channel) {
      const { clock } = this;
      const maxConnections = isState ? STATE_CONNECTIONS : CONNECTIONS;
      const options = { clock, connectTimeoutMs: CONNECT_TIMEOUT_MS, idleMs: IDLE_MS };
      channel = new Channel(address, { ...options, maxConnections });
      channels.set(address, channel);
    }
    return channel;
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.sendDate = false;
    try {
      const body = await readBody(request);
      const name = NAMES.get(request.url ?? '');
      const isValid = name === undefined || peerShapes.requests[name](body);
      if (!isValid) this.log.warn('request from another entry malformed', { path: request.url });
      const answer = name && isValid ? await this.handle(name, body) : undefined;
      const status =
        answer === undefined ? NO_ANSWER_STATUS[isValid ? 'unknown' : 'malformed'] : 200;
      response.writeHead(status, { 'Content-Type': 'application/json' });
      response.end(JSON.stringify(answer ?? {}));
    } catch (thrown) {
      this.log.warn('request from another entry failed', { detail: String(thrown) });
      if (!response.headersSent) response.writeHead(400);
      response.end();
    }
  }

  private async handle(name: Name, body: unknown): Promise<object> {
    const { handlers } = this;
    const calls: Readonly<Record<Name, () => object | Promise<object>>> = {
      find: () => handlers.find(body as Target),
      demand: () => handlers.demand(body as DemandReport),
      swap: async () => {
        const answer = await handlers.swap(body as Swap);
        return answer.ok ? { ok: true, outcome: answer.val } : { ok: false, failure: answer.val };
      },
      changes: async () => {
        const answer = await handlers.changes(body as ChangesRequest);
        return answer.ok ? { ok: true, changes: answer.val } : { ok: false, failure: answer.val };
      },
      draw: () => handlers.draw(body as DrawRequest),
      slot: () => handlers.slot(body as SlotRequest),
      customers: () => ({ customers: handlers.customers() ?? [] }),
      trial: () => ({ mayRun: handlers.trial(body as TrialRequest) }),
      origin: () => handlers.origin((body as { id: RequestId }).id),
      copyOrigins: () => {
        handlers.copyOrigins((body as { copies: OriginCopy[] }).copies);
        return {};
      },
      storeOrigins: () => ({
        isStored: handlers.storeOrigins((body as { copies: OriginCopy[] }).copies),
      }),
      suspects: () => ({ suspects: handlers.suspects() }),
      lift: () => ({ isLifted: handlers.lift((body as { trait: TraitId }).trait) }),
    };
    return calls[name]();
  }
}
