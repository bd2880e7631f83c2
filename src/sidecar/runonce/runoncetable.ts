import { nanoid } from 'nanoid';
import type { Result } from 'ts-results';
import {
  result,
  type CustomerId,
  type Incarnation,
  type ServiceId,
  type UpstreamId,
} from '../../base/index.js';
import { refuse } from '../../core/refusal/index.js';
import type { TableEffect } from '../../core/ticket/index.js';
import { requestHash } from '../../shell/hash/index.js';
import {
  Executed,
  type HandOverReply,
  type Refusal,
  type RequestHead,
  type TicketReply,
  type TicketRequest,
  type TicketTable,
} from '../../wire/index.js';
import type { Context, Permit, RunOnce } from '../part/index.js';
import { handOverTable } from './handovertable.js';
import { TableRunner } from './tablerunner.js';
import { publishHeir } from './publishheir.js';
import type { TableSettings } from '../tablesettings/index.js';
import { toTicketEntry } from './toticketentry.js';

/** 22 characters of nanoid's alphabet of 64 give 132 random bits. */
const SECRET_LENGTH = 22;

/** Retry-after time while the sidecar has no incarnation. */
const JOINING_RETRY_MS = 1000;

const UNKNOWN = { executed: Executed.EXECUTED_UNKNOWN };

/** Permit for requests without a ticket: they run, and nothing is recorded. */
const UNRECORDED: Permit = { type: 'run', start: () => undefined, record: () => {} };

function refusalOf(effect: TableEffect | undefined): Refusal | undefined {
  return effect?.type === 'refuse' ? effect.refusal : undefined;
}

/** The run-once table of this incarnation, with the calls of the request path and of peers. */
export class RunOnceTable implements RunOnce {
  private readonly live: TableRunner;

  constructor(
    private readonly ports: Context,
    limits: TableSettings,
  ) {
    this.live = new TableRunner(ports, limits);
  }

  issue({ customer, service, validMs }: TicketRequest): TicketReply {
    const refusal = this.issueRefusal(service);
    if (refusal) return this.refuseTicket(refusal);
    const callId = this.live.nextCallId();
    const secret = nanoid(SECRET_LENGTH);
    const whose = { customer: customer as CustomerId, service: service as ServiceId };
    const [effect] = this.live.step({ type: 'issue', callId, ...whose, validMs, secret });
    return effect?.type === 'issued' ? effect.reply : this.refuseTicket(refusalOf(effect));
  }

  async begin(_requestId: string, head: RequestHead): Promise<Result<Permit, Refusal>> {
    const { ticket } = head;
    if (!ticket) return result.Ok(UNRECORDED);
    if (!this.live.state()) {
      const detail = 'This sidecar has no table of the incarnation that issued the ticket.';
      return result.Err(refuse('ticket-incarnation-gone', detail, UNKNOWN));
    }
    const effect = await this.live.ask({
      type: 'begin',
      callId: this.live.nextCallId(),
      ticket,
      customer: head.customer as CustomerId,
      service: head.service as ServiceId,
      requestHash: requestHash(head.method, head.path, head.body),
    });
    const end = refusalOf(effect)?.type ?? effect.type;
    this.ports.metrics.count('ticket.begun', 1, { end });
    if (effect.type === 'refuse') return result.Err(effect.refusal);
    if (effect.type !== 'replay') return result.Ok(this.permit(ticket));
    return result.Ok({ type: 'replay', answer: toTicketEntry(head, effect.answer) });
  }

  leave(): void {
    this.live.step({ type: 'leave' });
  }

  async stop(): Promise<void> {
    const state = this.live.state();
    if (state && state.rows.size > 0) await handOverTable(state, this.ports);
  }

  adopt(table: TicketTable): HandOverReply {
    if (!this.live.state()) {
      const refusal = refuse('upstream-joining', 'This sidecar has no incarnation yet.');
      return { takenCount: 0, refusal };
    }
    const [effect] = this.live.step({
      type: 'adopt',
      callId: this.live.nextCallId(),
      upstream: table.upstream as UpstreamId,
      incarnation: table.incarnation as Incarnation,
      table,
    });
    if (effect?.type !== 'adopted') return { takenCount: 0, refusal: refusalOf(effect) };
    if (table.last) publishHeir(this.ports, table);
    return { takenCount: effect.takenCount, refusal: undefined };
  }

  private permit(ticket: string): Permit {
    return {
      type: 'run',
      start: () => {
        const callId = this.live.nextCallId();
        const [effect] = this.live.step({ type: 'start', callId, ticket });
        return refusalOf(effect);
      },
      record: (end) => {
        if (end.type !== 'answered') {
          this.live.step({ type: 'finish', ticket, end });
          return;
        }
        const { status, headers, body, pieceBytes, bodyDropped } = end.answer;
        const answer = bodyDropped ? undefined : { status, headers, body, pieceBytes };
        this.live.step({ type: 'finish', ticket, end: { type: 'answered', answer } });
      },
    };
  }

  private issueRefusal(service: string): Refusal | undefined {
    const { settings, incarnation } = this.ports;
    if (service !== settings.service) {
      return refuse('service-unknown', `This sidecar does not serve "${service}".`);
    }
    if (this.live.state() && incarnation.isHeld()) return undefined;
    const detail = 'This sidecar holds no incarnation.';
    return refuse('upstream-joining', detail, { retryAfterMs: JOINING_RETRY_MS });
  }

  private refuseTicket(refusal: Refusal | undefined): TicketReply {
    this.ports.metrics.count('ticket.unissued', 1, { type: refusal?.type ?? 'none' });
    return { ticket: '', incarnation: 0, validMs: 0, refusal };
  }
}
