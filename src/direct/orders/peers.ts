import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { result, type Clock, type ContentId, type Ms, type Revision } from '../../base/index.js';
import type { ChangeFeed, Log, StoreFailure, Swap, SwapOutcome } from '../../port/index.js';
import { callOnce, Channel } from '../../shell/http1/index.js';
import type { Suspect } from '../../core/poison/index.js';
import type { TrialQuestion } from '../poison/index.js';
import type { CustomerState, DrawAnswer, DrawQuestion } from '../quota/index.js';
import type { Need } from '../route/index.js';
import type { SlotAnswer, SlotQuestion } from '../selfreport/index.js';
import type { DemandAnswer } from './demandanswer.js';
import type { DemandReport } from './demandreport.js';
import type { FoundNeed } from './foundneed.js';

/** What other entries may ask of this one. */
interface PeerHandlers {
  find(need: Need): Promise<FoundNeed>;
  demand(report: DemandReport): DemandAnswer;
  /** Tells the store's changes after a revision, at most `waitMs` later. */
  changes(question: ChangeQuestion): ReturnType<ChangeFeed['changes']>;
  /** Makes a write for an entry whose own way to the store is cut. */
  swap(swap: Swap): ReturnType<ChangeFeed['swap']>;
  /** Grants tokens of a customer's quota for one request. */
  draw(question: DrawQuestion): DrawAnswer;
  /** Gives out a moment at which a request may be sent to an upstream with a limit. */
  slot(question: SlotQuestion): Promise<SlotAnswer>;
  /** Whether a suspected request may run at another entry now. */
  trial(question: TrialQuestion): boolean;
  /** Customers, their limits and their use, for an operator. */
  customers(): readonly CustomerState[] | undefined;
  /** Requests under which upstreams ended, for an operator. */
  suspects(): readonly Suspect[];
  /** Lets a request be tried again. False if it was not suspected. */
  lift(content: ContentId): boolean;
}

/** A question for the store's changes. */
interface ChangeQuestion {
  readonly after: Revision;
  readonly waitMs: Ms;
}

type Changes = Extract<Awaited<ReturnType<ChangeFeed['changes']>>, { ok: true }>['val'];

/** The answer to it as entries tell it each other. */
type RelayedChanges =
  | { readonly ok: true; readonly changes: Changes }
  | { readonly ok: false; readonly failure: StoreFailure };

/** A write's outcome as entries tell it each other. */
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
  suspects: '/poison/list',
  lift: '/poison/lift',
} as const;
const CONNECT_TIMEOUT_MS = 250;
const IDLE_MS = 10_000;
const CONNECTIONS = 16;
/** An entry that is up answers within milliseconds; bringing an adapter takes up to 30. */
const FIND_TIMEOUT_MS = 400;
const DEMAND_TIMEOUT_MS = 400;
/** A suspected request waits for this answer: an entry that is up gives it within milliseconds. */
const TRIAL_TIMEOUT_MS = 150;
/** A request waits for this answer, and its target may be 250 ms: an entry that is up gives it within milliseconds. */
const DRAW_TIMEOUT_MS = 150;
/** The right that is renewed lasts not much longer. */
const SWAP_TIMEOUT_MS = 500;
/** How much later than its wait a question for changes is answered: a round trip on a busy host. */
const CHANGES_MARGIN_MS = 200;
const MOST_BYTES = 262_144;

async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MOST_BYTES) return undefined;
    chunks.push(chunk);
  }
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

/** Calls between entries about orders. */
export class Peers {
  private readonly server: Server;

  private readonly channels = new Map<string, Channel>();

  /** Addresses whose last call had no answer. */
  private readonly silent = new Set<string>();

  constructor(
    private readonly handlers: PeerHandlers,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.server = createServer((request, response) => {
      void this.answer(request, response);
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
  }

  /** Undefined without an answer. */
  async find(address: string, need: Need): Promise<FoundNeed | undefined> {
    return (await this.ask(address, PATHS.find, need, FIND_TIMEOUT_MS)) as FoundNeed | undefined;
  }

  /** Undefined without an answer. */
  async demand(address: string, report: DemandReport): Promise<DemandAnswer | undefined> {
    const said = await this.ask(address, PATHS.demand, report, DEMAND_TIMEOUT_MS);
    return said as DemandAnswer | undefined;
  }

  /** Undefined without an answer. */
  async trial(address: string, question: TrialQuestion): Promise<boolean | undefined> {
    const said = await this.ask(address, PATHS.trial, question, TRIAL_TIMEOUT_MS);
    return (said as { mayRun: boolean } | undefined)?.mayRun;
  }

  /** Undefined without an answer. */
  async draw(address: string, question: DrawQuestion): Promise<DrawAnswer | undefined> {
    const said = await this.ask(address, PATHS.draw, question, DRAW_TIMEOUT_MS);
    return said as DrawAnswer | undefined;
  }

  /** Undefined without an answer. */
  async slot(address: string, question: SlotQuestion): Promise<SlotAnswer | undefined> {
    const said = await this.ask(address, PATHS.slot, question, question.waitMs + DRAW_TIMEOUT_MS);
    return said as SlotAnswer | undefined;
  }

  /** The store's changes as another entry has read them; undefined without an answer. */
  async changes(
    address: string,
    question: ChangeQuestion,
  ): Promise<Awaited<ReturnType<ChangeFeed['changes']>> | undefined> {
    const timeoutMs = question.waitMs + CHANGES_MARGIN_MS;
    const said = await this.ask(address, PATHS.changes, question, timeoutMs);
    const relayed = said as RelayedChanges | undefined;
    if (!relayed) return undefined;
    return relayed.ok ? result.Ok(relayed.changes) : result.Err(relayed.failure);
  }

  /** Makes a write through another entry. */
  async swap(address: string, swap: Swap): ReturnType<ChangeFeed['swap']> {
    const said = await this.ask(address, PATHS.swap, swap, SWAP_TIMEOUT_MS);
    const relayed = said as RelayedSwap | undefined;
    if (relayed?.ok) return result.Ok(relayed.outcome);
    const detail = `No answer from ${address}.`;
    return result.Err(relayed?.failure ?? { type: 'store-outcome-unknown', detail });
  }

  private async ask(address: string, path: string, body: object, timeoutMs: Ms): Promise<unknown> {
    const channel = this.channelTo(address);
    const call = {
      method: 'POST',
      path,
      headers: ['Content-Type', 'application/json'],
      body: Buffer.from(JSON.stringify(body)),
    };
    const answer = await callOnce(channel, call, this.clock, timeoutMs);
    if (answer.err || answer.val.status !== 200) {
      const detail = answer.err ? answer.val.detail : `status ${answer.val.status}`;
      if (!this.silent.has(address)) this.log.warn('entry not reached', { address, path, detail });
      this.silent.add(address);
      return undefined;
    }
    if (this.silent.delete(address)) this.log.info('entry reached again', { address, path });
    return JSON.parse(answer.val.body.toString('utf8'));
  }

  private channelTo(address: string): Channel {
    let channel = this.channels.get(address);
    if (!channel) {
      const { clock } = this;
      const options = { clock, connectTimeoutMs: CONNECT_TIMEOUT_MS, idleMs: IDLE_MS };
      channel = new Channel(address, { ...options, maxConnections: CONNECTIONS });
      this.channels.set(address, channel);
    }
    return channel;
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.sendDate = false;
    try {
      const body = await readJson(request);
      const said = await this.handle(request.url ?? '', body);
      response.writeHead(said === undefined ? 404 : 200, { 'Content-Type': 'application/json' });
      response.end(JSON.stringify(said ?? {}));
    } catch (thrown) {
      this.log.warn('call between entries not readable', { detail: String(thrown) });
      if (!response.headersSent) response.writeHead(400);
      response.end();
    }
  }

  private async handle(path: string, body: unknown): Promise<object | undefined> {
    if (path === PATHS.find) return this.handlers.find(body as Need);
    if (path === PATHS.swap) {
      const said = await this.handlers.swap(body as Swap);
      return said.ok ? { ok: true, outcome: said.val } : { ok: false, failure: said.val };
    }
    if (path === PATHS.changes) {
      const said = await this.handlers.changes(body as ChangeQuestion);
      return said.ok ? { ok: true, changes: said.val } : { ok: false, failure: said.val };
    }
    if (path === PATHS.draw) return this.handlers.draw(body as DrawQuestion);
    if (path === PATHS.slot) return this.handlers.slot(body as SlotQuestion);
    if (path === PATHS.customers) return { customers: this.handlers.customers() ?? [] };
    if (path === PATHS.trial) return { mayRun: this.handlers.trial(body as TrialQuestion) };
    if (path === PATHS.suspects) return { suspects: this.handlers.suspects() };
    if (path === PATHS.lift) {
      return { isLifted: this.handlers.lift((body as { content: ContentId }).content) };
    }
    if (path !== PATHS.demand) return undefined;
    return this.handlers.demand(body as DemandReport);
  }
}
