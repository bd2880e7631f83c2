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
import {
  openTable,
  stepTable,
  type TableEffect,
  type TableEvent,
  type TableState,
} from '../../core/ticket/index.js';
import { requestHash } from '../../shell/hash/index.js';
import {
  Executed,
  Heir,
  type HandOverReply,
  type Refusal,
  type RequestHead,
  type TicketReply,
  type TicketRequest,
  type TicketTable,
} from '../../wire/index.js';
import type { Context, Permit, RunOnce } from '../part/index.js';
import { handOn } from './handon.js';
import type { TableSettings } from './tablesettings.js';
import { toEntry } from './toentry.js';

/** 22 characters of nanoid's alphabet are 132 random bits. */
const SECRET_LENGTH = 22;

const SWEEP_MS = 1000;

/** When a sidecar that has no incarnation yet may be asked again. */
const JOINING_MS = 1000;

const UNKNOWN = { executed: Executed.EXECUTED_UNKNOWN };

/** For requests without a ticket: they run, and nothing is kept of them. */
const FREE: Permit = { type: 'run', start: () => undefined, record: () => {} };

type Ports = Pick<
  Context,
  | 'settings'
  | 'clock'
  | 'log'
  | 'metrics'
  | 'audit'
  | 'board'
  | 'credentials'
  | 'incarnation'
  | 'onStop'
>;

/** Carries calls to the run-once table of this incarnation, and what it decides back to them. */
export class Table implements RunOnce {
  private state: TableState | undefined;

  private calls = 0;

  /** Calls that wait for the table's word. */
  private readonly waiting = new Map<string, (effect: TableEffect) => void>();

  private forgetSweep: () => void = () => {};

  constructor(
    private readonly ports: Ports,
    private readonly limits: TableSettings,
  ) {
    this.sweepLater();
    ports.onStop(() => this.forgetSweep());
  }

  issue({ customer, service, validMs }: TicketRequest): TicketReply {
    const refusal = this.unfit(service);
    if (refusal) return this.unissued(refusal);
    const callId = this.nextCall();
    const secret = nanoid(SECRET_LENGTH);
    const whose = { customer: customer as CustomerId, service: service as ServiceId };
    const [effect] = this.step({ type: 'issue', callId, ...whose, validMs, secret });
    if (effect?.type === 'issued') return effect.reply;
    return this.unissued(effect?.type === 'refuse' ? effect.refusal : undefined);
  }

  async begin(_requestId: string, head: RequestHead): Promise<Result<Permit, Refusal>> {
    const { ticket } = head;
    if (!ticket) return result.Ok(FREE);
    if (!this.open()) {
      const detail = 'This sidecar has no table of the incarnation that issued the ticket.';
      return result.Err(refuse('ticket-incarnation-gone', detail, UNKNOWN));
    }
    const callId = this.nextCall();
    const effect = await new Promise<TableEffect>((resolve) => {
      this.waiting.set(callId, resolve);
      this.step({
        type: 'begin',
        callId,
        ticket,
        customer: head.customer as CustomerId,
        service: head.service as ServiceId,
        requestHash: requestHash(head.method, head.path, head.body),
      });
    });
    this.ports.metrics.count('ticket.begun', 1, { end: this.endOf(effect) });
    if (effect.type === 'refuse') return result.Err(effect.refusal);
    if (effect.type === 'replay') {
      return result.Ok({ type: 'replay', answer: toEntry(head, effect.answer) });
    }
    return result.Ok(this.permit(ticket));
  }

  leave(): void {
    if (this.open()) this.step({ type: 'leave' });
  }

  async stop(): Promise<void> {
    const { state } = this;
    if (!state || state.rows.size === 0) return;
    await handOn(state, this.ports);
  }

  adopt(table: TicketTable): HandOverReply {
    if (!this.open()) {
      const refusal = refuse('upstream-joining', 'This sidecar has no incarnation yet.');
      return { takenCount: 0, refusal };
    }
    const upstream = table.upstream as UpstreamId;
    const incarnation = table.incarnation as Incarnation;
    const callId = this.nextCall();
    const [effect] = this.step({ type: 'adopt', callId, upstream, incarnation, table });
    if (effect?.type !== 'adopted') {
      return { takenCount: 0, refusal: effect?.type === 'refuse' ? effect.refusal : undefined };
    }
    if (table.last) this.publishHeir(table);
    return { takenCount: effect.takenCount, refusal: undefined };
  }

  /** Tells entries that tickets of a stopped sidecar are answered here. */
  private publishHeir({ upstream, incarnation, hops }: TicketTable): void {
    const { settings, board, log, audit, clock } = this.ports;
    const own = { upstream: settings.upstream, incarnation: this.ports.incarnation.current() };
    board.publish({
      key: `heir/${settings.service}/${upstream}`,
      epoch: incarnation,
      sequence: hops,
      value: Buffer.from(Heir.encode(own).finish()),
    });
    log.info('ticket table taken over', { from: upstream, incarnation, hops });
    audit.write({
      wallMs: clock.wallMs(),
      actor: settings.hostId,
      act: 'take-over-tickets',
      subject: upstream,
      detail: { incarnation, hops },
    });
  }

  private permit(ticket: string): Permit {
    return {
      type: 'run',
      start: () => {
        const [effect] = this.step({ type: 'start', callId: this.nextCall(), ticket });
        return effect?.type === 'refuse' ? effect.refusal : undefined;
      },
      record: (end) => {
        if (end.type === 'answered') {
          const { status, headers, body, pieceBytes, bodyDropped } = end.answer;
          const answer = bodyDropped ? undefined : { status, headers, body, pieceBytes };
          this.step({ type: 'finish', ticket, end: { type: 'answered', answer } });
        } else this.step({ type: 'finish', ticket, end });
      },
    };
  }

  private unfit(service: string): Refusal | undefined {
    const { settings, incarnation } = this.ports;
    if (service !== settings.service) {
      return refuse('service-unknown', `This sidecar does not serve "${service}".`);
    }
    if (this.open() && incarnation.isHeld()) return undefined;
    const detail = 'This sidecar holds no incarnation.';
    return refuse('upstream-joining', detail, { retryAfterMs: JOINING_MS });
  }

  private unissued(refusal: Refusal | undefined): TicketReply {
    this.ports.metrics.count('ticket.unissued', 1, { type: refusal?.type ?? 'none' });
    return { ticket: '', incarnation: 0, validMs: 0, refusal };
  }

  private endOf(effect: TableEffect): string {
    return effect.type === 'refuse' ? effect.refusal.type : effect.type;
  }

  private nextCall(): string {
    this.calls += 1;
    return String(this.calls);
  }

  /** The table exists from the moment that its incarnation has been taken. */
  private open(): TableState | undefined {
    if (this.state) return this.state;
    const { settings, incarnation, clock } = this.ports;
    const current = incarnation.current();
    if (current === 0) return undefined;
    const upstream = settings.upstream as UpstreamId;
    this.state = openTable(upstream, current, this.limits, clock.nowMs());
    return this.state;
  }

  private step(event: TableEvent): readonly TableEffect[] {
    const before = this.open();
    if (!before) return [];
    const { state, effects } = stepTable(before, event, this.ports.clock.nowMs());
    this.state = state;
    for (const effect of effects) {
      const tell = this.waiting.get(effect.callId);
      this.waiting.delete(effect.callId);
      tell?.(effect);
    }
    return effects;
  }

  private sweepLater(): void {
    this.forgetSweep = this.ports.clock.after(SWEEP_MS, () => {
      this.step({ type: 'sweep' });
      this.ports.metrics.gauge('ticket.count', this.state?.rows.size ?? 0);
      this.ports.metrics.gauge('ticket.bytes', this.state?.usedBytes ?? 0);
      this.sweepLater();
    });
  }
}
