import type { Result } from 'ts-results';
import { result, type Ms, type UpstreamId } from '../../base/index.js';
import { finalRefusal, routeTicket } from '../../core/idempotency/index.js';
import { refuse } from '../../core/refusal/index.js';
import { keyHash, requestHash } from '../../shell/hash/index.js';
import { Budget } from '../../shell/store/index.js';
import { Executed, type Refusal, type TicketReply, type TicketRequest } from '../../wire/index.js';
import type { BindAsk, Binding, Choice, Context, Directory, Tickets } from '../part/index.js';
import { boardView } from './boardview.js';
import { issueAt } from './issueat.js';
import { Leases } from './leases.js';
import { Mapping } from './mapping.js';

const PREFIX = '/tarragonstile/tickets';
const CALL_TIMEOUT_MS = 2000;
const KEY_LIMIT = 255;

/** Sidecars that are asked for the ticket of one key, if those before refused. */
const ASK_LIMIT = 3;

/** Life of a ticket where the document gives none. */
const DEFAULT_VALID_MS = 600_000;

const MS_PER_SECOND = 1000;

/** Options of an entry's run-once part. */
interface TicketDeskOptions {
  /** Writes to the store that this entry may spend on keys in a second. */
  readonly writesPerSecond: number;
}

/** Tickets and keys at an entry: it keeps none of them, and finds each by its name. */
export class TicketDesk implements Tickets {
  private readonly budget: Budget;

  private readonly leases: Leases;

  constructor(
    private readonly context: Context,
    private readonly directory: Directory,
    private readonly options: TicketDeskOptions,
  ) {
    this.budget = new Budget(options.writesPerSecond);
    this.leases = new Leases(context);
  }

  issue(choice: Choice, request: TicketRequest): Promise<Result<TicketReply, Refusal>> {
    const client = this.context.link.client(choice.sidecarAddress);
    return issueAt(client, request, this.context.clock.wallMs() + CALL_TIMEOUT_MS);
  }

  async bind(ask: BindAsk): Promise<Result<Binding, Refusal>> {
    const { service } = ask;
    if (ask.ticket !== undefined) return this.bound(ask.ticket, service);
    if (ask.idempotencyKey === undefined) return result.Ok({ type: 'free' });
    if (ask.idempotencyKey.length > KEY_LIMIT) {
      const detail = `Idempotency-Key may have ${KEY_LIMIT} characters.`;
      return result.Err(refuse('header-malformed', detail));
    }
    const ticket = await this.map(ask, ask.idempotencyKey);
    this.context.metrics.count('key.mapped', 1, { end: ticket.err ? ticket.val.type : 'bound' });
    return ticket.err ? ticket : this.bound(ticket.val, service);
  }

  locate(ticket: string, service: string): Result<Choice, Refusal> {
    const place = routeTicket(ticket, boardView(this.context.board, service));
    if (place.err) return place;
    const { upstream, incarnation } = place.val;
    const sidecarAddress = this.addressOf(upstream, service);
    if (sidecarAddress) return result.Ok({ upstream, sidecarAddress, incarnation });
    const detail = `The service has no upstream "${upstream}" any more.`;
    const executed = Executed.EXECUTED_UNKNOWN;
    return result.Err(refuse('ticket-incarnation-gone', detail, { executed }));
  }

  conclude(refusals: readonly Refusal[]): Refusal {
    return finalRefusal(refusals);
  }

  private bound(ticket: string, service: string): Result<Binding, Refusal> {
    return this.locate(ticket, service).map((choice) => ({ type: 'bound', ticket, choice }));
  }

  private map(ask: BindAsk, idempotencyKey: string): Promise<Result<string, Refusal>> {
    const { clock, store } = this.context;
    const ticketValidMs = ask.ticketValidMs || DEFAULT_VALID_MS;
    const { writesPerSecond } = this.options;
    const ports = {
      clock,
      store,
      leases: this.leases,
      takeWrite: () => this.budget.take(clock.nowMs()),
      retryAfterMs: MS_PER_SECOND / writesPerSecond,
      askTicket: () => this.askTicket(ask, ticketValidMs),
    };
    const owner = `${encodeURIComponent(ask.service)}/${encodeURIComponent(ask.customer)}`;
    const key = `${PREFIX}/${owner}/${keyHash(idempotencyKey)}`;
    const hash = requestHash(ask.method, ask.path, ask.body);
    return new Mapping(ports, { key, requestHash: hash, ticketValidMs }).run();
  }

  private async askTicket(ask: BindAsk, validMs: Ms): Promise<Result<TicketReply, Refusal>> {
    const { customer, service, requestId } = ask;
    const tried: UpstreamId[] = [];
    let last: Result<TicketReply, Refusal> = result.Err(refuse('no-upstream', 'None was asked.'));
    while (tried.length < ASK_LIMIT) {
      const choice = await ask.choose(tried);
      if (choice.err) return tried.length > 0 ? last : choice;
      last = await this.issue(choice.val, { customer, service, requestId, validMs });
      if (last.ok) return last;
      tried.push(choice.val.upstream);
    }
    return last;
  }

  private addressOf(upstream: string, service: string): string | undefined {
    for (const document of this.directory.documents()) {
      if (document.service !== service) continue;
      for (const { upstreams } of document.groups) {
        const found = upstreams.find(({ id }) => id === upstream);
        if (found) return found.sidecarAddress;
      }
    }
    return undefined;
  }
}
