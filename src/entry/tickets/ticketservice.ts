import type { Result } from 'ts-results';
import { result, type Ms, type UpstreamId } from '../../base/index.js';
import { finalRefusal, routeTicket } from '../../core/idempotency/index.js';
import { refuse } from '../../core/refusal/index.js';
import { keyHash, requestHash } from '../../shell/hash/index.js';
import { TokenBucket } from '../../shell/store/index.js';
import { Executed, type Refusal, type TicketReply, type TicketRequest } from '../../wire/index.js';
import type {
  BindRequest,
  Binding,
  Choice,
  Context,
  Directory,
  Tickets,
} from '../component/index.js';
import { boardView } from './boardview.js';
import { requestTicket } from './requestticket.js';
import { SharedLeases } from './sharedleases.js';
import { KeyMapping } from './keymapping.js';

const KEY_PREFIX = '/tarragonstile/tickets';
const CALL_TIMEOUT_MS = 2000;

/** Maximum number of characters of an `Idempotency-Key`. */
const MAX_KEY_LENGTH = 255;

/** Maximum number of sidecars that are asked for a ticket for one key, one after the other as each refuses. */
const MAX_SIDECARS = 3;

/** Lifetime of a ticket if the document sets none. */
const DEFAULT_VALID_MS = 600_000;

const MS_PER_SECOND = 1000;

/** Options of the ticket service. */
interface TicketServiceOptions {
  /** Store writes per second that this entry may spend on idempotency keys. */
  readonly writesPerSecond: number;
}

/** Issues and locates tickets, and maps idempotency keys to them. The entry stores neither: tickets name their sidecar. */
export class TicketService implements Tickets {
  private readonly budget: TokenBucket;

  private readonly leases: SharedLeases;

  constructor(
    private readonly context: Context,
    private readonly directory: Directory,
    private readonly options: TicketServiceOptions,
  ) {
    this.budget = new TokenBucket(options.writesPerSecond);
    this.leases = new SharedLeases(context);
  }

  issue(choice: Choice, request: TicketRequest): Promise<Result<TicketReply, Refusal>> {
    const client = this.context.link.client(choice.sidecarAddress);
    return requestTicket(client, request, this.context.clock.wallMs() + CALL_TIMEOUT_MS);
  }

  async bind(ask: BindRequest): Promise<Result<Binding, Refusal>> {
    const { service } = ask;
    if (ask.ticket !== undefined) return this.bound(ask.ticket, service);
    if (ask.idempotencyKey === undefined) return result.Ok({ type: 'free' });
    if (ask.idempotencyKey.length > MAX_KEY_LENGTH) {
      const detail = `Idempotency-Key may have at most ${MAX_KEY_LENGTH} characters.`;
      return result.Err(refuse('header-malformed', detail));
    }
    const ticket = await this.mapKey(ask, ask.idempotencyKey);
    this.context.metrics.count('key.mapped', 1, { end: ticket.err ? ticket.val.type : 'bound' });
    return ticket.err ? ticket : this.bound(ticket.val, service);
  }

  locate(ticket: string, service: string): Result<Choice, Refusal> {
    const place = routeTicket(ticket, boardView(this.context.board, service));
    if (place.err) return place;
    const { upstream, incarnation } = place.val;
    const sidecarAddress = this.addressOf(upstream, service);
    if (sidecarAddress) return result.Ok({ upstream, sidecarAddress, incarnation });
    const detail = `The upstream "${upstream}" that held the ticket is no longer part of the service.`;
    const executed = Executed.EXECUTED_UNKNOWN;
    return result.Err(refuse('ticket-incarnation-gone', detail, { executed }));
  }

  finalRefusal(refusals: readonly Refusal[]): Refusal {
    return finalRefusal(refusals);
  }

  private bound(ticket: string, service: string): Result<Binding, Refusal> {
    return this.locate(ticket, service).map((choice) => ({ type: 'bound', ticket, choice }));
  }

  private mapKey(ask: BindRequest, idempotencyKey: string): Promise<Result<string, Refusal>> {
    const { clock, store } = this.context;
    const ticketValidMs = ask.ticketValidMs || DEFAULT_VALID_MS;
    const { writesPerSecond } = this.options;
    const ports = {
      clock,
      store,
      leases: this.leases,
      takeWrite: () => this.budget.take(clock.nowMs()),
      retryAfterMs: MS_PER_SECOND / writesPerSecond,
      askTicket: () => this.requestNewTicket(ask, ticketValidMs),
    };
    const owner = `${encodeURIComponent(ask.service)}/${encodeURIComponent(ask.customer)}`;
    const key = `${KEY_PREFIX}/${owner}/${keyHash(idempotencyKey)}`;
    const hash = requestHash(ask.method, ask.path, ask.body);
    return new KeyMapping(ports, { key, requestHash: hash, ticketValidMs }).run();
  }

  private async requestNewTicket(
    ask: BindRequest,
    validMs: Ms,
  ): Promise<Result<TicketReply, Refusal>> {
    const { customer, service, requestId } = ask;
    const tried: UpstreamId[] = [];
    let last: Result<TicketReply, Refusal> = result.Err(
      refuse('no-upstream', 'No sidecar was asked for a ticket.'),
    );
    while (tried.length < MAX_SIDECARS) {
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
