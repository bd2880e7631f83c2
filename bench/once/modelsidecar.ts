import type { CustomerId, Incarnation, ServiceId, UpstreamId } from '../../src/base/index.js';
import { refuse } from '../../src/core/refusal/index.js';
import {
  exportTable,
  openTable,
  stepTable,
  type TableEffect,
  type TableEvent,
} from '../../src/core/ticket/index.js';
import { Executed, type Refusal, type TicketTable } from '../../src/wire/index.js';
import type { Network, Process } from './network.js';
import type { RunOracle } from './runoracle.js';

export const modelLimits = { tableBytes: 1_000_000, answerBytes: 100_000, maxValidMs: 1000 };
export const modelService = 'register' as ServiceId;

/** A request as it is sent once. */
export interface Send {
  readonly id: number;
  /** Name of the request; all sends of one request have the same ticket or key. */
  readonly request: string;
  /** Ticket or key for which at most one request may run. */
  readonly group: string;
  readonly customer: CustomerId;
  readonly hash: string;
}

/** A sidecar's reply to a send. */
export type Reply =
  | { readonly type: 'answer'; readonly text: string }
  | { readonly type: 'refusal'; readonly refusal: Refusal; readonly runs: number };

/** A request that the ticket table has accepted and that waits for a slot. */
interface Queued {
  readonly send: Send;
  readonly ticket: string;
  readonly reply: (reply: Reply) => void;
  readonly arrivedLeaving: boolean;
}

/** Dependencies that the sidecars share. */
interface Environment {
  readonly network: Network;
  readonly oracle: RunOracle;
  readonly service: Process;
  readonly nowMs: () => number;
}

/** One incarnation of a sidecar: the real ticket table, with a modelled queue and service. */
export class ModelSidecar implements Process {
  alive = true;

  paused = false;

  leaving = false;

  /** When each ticket that was issued here expires. */
  readonly expiries: Map<string, number>;

  private table;

  private calls = 0;

  private queue: Queued[] = [];

  /** Number of requests that were sent to the service and have not ended. */
  private running = 0;

  private readonly waiting = new Map<string, (effect: TableEffect) => void>();

  constructor(
    readonly upstream: UpstreamId,
    readonly incarnation: Incarnation,
    private readonly environment: Environment,
  ) {
    this.table = openTable(upstream, incarnation, modelLimits, environment.nowMs());
    this.expiries = new Map();
  }

  issue(customer: CustomerId, reply: (ticket: string | Refusal) => void): void {
    this.calls += 1;
    const secret = `${this.upstream}${this.incarnation}x${this.calls}`.padEnd(22, 'x');
    const callId = String(this.calls);
    const event = {
      type: 'issue',
      callId,
      customer,
      service: modelService,
      validMs: 0,
      secret,
    } as const;
    const [effect] = this.step(event);
    if (effect?.type === 'refuse') reply(effect.refusal);
    if (effect?.type !== 'issued') return;
    this.expiries.set(effect.reply.ticket, this.environment.nowMs() + effect.reply.validMs);
    reply(effect.reply.ticket);
  }

  begin(ticket: string, send: Send, reply: (reply: Reply) => void): void {
    this.calls += 1;
    const callId = String(this.calls);
    const arrivedLeaving = this.leaving;
    this.waiting.set(callId, (effect) => {
      if (effect.type === 'run') this.enqueue({ send, ticket, reply, arrivedLeaving });
      if (effect.type === 'replay') reply({ type: 'answer', text: effect.answer.body.toString() });
      if (effect.type === 'refuse') this.refuse(ticket, send, effect.refusal, reply);
    });
    const { customer, hash } = send;
    const event = { callId, ticket, customer, service: modelService, requestHash: hash } as const;
    this.step({ type: 'begin', ...event });
  }

  /** Gives a queued request a slot, or refuses it if `isFull`. */
  admit(pick: number, isFull: boolean): void {
    if (!this.alive || this.paused || this.queue.length === 0) return;
    const [work] = this.queue.splice(pick % this.queue.length, 1);
    if (!work) return;
    this.calls += 1;
    const callId = String(this.calls);
    if (isFull) {
      this.withdraw(work, refuse('queue-full', 'The queue is full.'));
      return;
    }
    const [effect] = this.step({ type: 'start', callId, ticket: work.ticket });
    if (effect?.type === 'refuse') this.withdraw(work, effect.refusal);
    else this.run(work);
  }

  /** Starts a planned stop. */
  leave(): void {
    this.leaving = true;
    this.step({ type: 'leave' });
  }

  /** True if a planned stop need not wait any longer. */
  drained(): boolean {
    return this.queue.length === 0 && this.running === 0;
  }

  export(): TicketTable[] {
    return [...exportTable(this.table, 1, this.environment.nowMs())];
  }

  adopt(table: TicketTable): boolean {
    this.calls += 1;
    const upstream = table.upstream as UpstreamId;
    const incarnation = table.incarnation as Incarnation;
    const callId = String(this.calls);
    const [effect] = this.step({ type: 'adopt', callId, upstream, incarnation, table });
    return effect?.type === 'adopted';
  }

  private isValid(ticket: string): boolean {
    return this.environment.nowMs() < (this.expiries.get(ticket) ?? 0);
  }

  private enqueue(work: Queued): void {
    const { request } = work.send;
    const { oracle } = this.environment;
    oracle.require(this.isValid(work.ticket), `${request} was begun after its ticket expired`);
    this.queue.push(work);
  }

  private run(work: Queued): void {
    const { network, oracle, service } = this.environment;
    const { send, ticket } = work;
    oracle.require(this.isValid(ticket), `${send.request} was sent after its ticket expired`);
    oracle.require(!work.arrivedLeaving, `${send.request} was accepted by a leaving sidecar`);
    this.running += 1;
    network.call<boolean>({
      label: `run ${send.request} send ${send.id} at ${this.upstream}.${this.incarnation}`,
      from: this,
      to: service,
      serve: (reply) => {
        oracle.ran(send);
        reply(true);
      },
      done: (answered) => this.ended(work, answered === true),
    });
  }

  private ended({ send, ticket, reply }: Queued, isWhole: boolean): void {
    this.running -= 1;
    if (!isWhole) {
      this.step({ type: 'finish', ticket, end: { type: 'unknown' } });
      const refusal = refuse('upstream-cut', 'The connection to the service was cut.', {
        executed: Executed.EXECUTED_UNKNOWN,
      });
      this.refuse(ticket, send, refusal, reply);
      return;
    }
    const body = Buffer.from(send.request);
    const answer = { status: 200, headers: [], body, pieceBytes: [body.length] };
    this.step({ type: 'finish', ticket, end: { type: 'answered', answer } });
    reply({ type: 'answer', text: send.request });
  }

  private withdraw({ send, ticket, reply }: Queued, refusal: Refusal): void {
    this.step({ type: 'finish', ticket, end: { type: 'none' } });
    this.refuse(ticket, send, refusal, reply);
  }

  private refuse(
    ticket: string,
    send: Send,
    refusal: Refusal,
    reply: (reply: Reply) => void,
  ): void {
    const { oracle } = this.environment;
    const isForgotten = refusal.type === 'ticket-forgotten';
    oracle.require(
      !(this.isValid(ticket) && isForgotten),
      `${ticket} was forgotten before it expired`,
    );
    reply({ type: 'refusal', refusal, runs: oracle.runsOf(send.request) });
  }

  private step(event: TableEvent): readonly TableEffect[] {
    const change = stepTable(this.table, event, this.environment.nowMs());
    this.table = change.state;
    for (const effect of change.effects) {
      const onEffect = this.waiting.get(effect.callId);
      this.waiting.delete(effect.callId);
      onEffect?.(effect);
    }
    return change.effects;
  }
}
