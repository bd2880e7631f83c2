import type { UpstreamId, Incarnation } from '../../src/base/index.js';
import {
  finalRefusal,
  routeTicket,
  sharedLease,
  startMapping,
  stepMapping,
  type MappingEffect,
  type MappingEvent,
} from '../../src/core/idempotency/index.js';
import { refuse } from '../../src/core/refusal/index.js';
import { Executed, type Refusal } from '../../src/wire/index.js';
import { modelLimits, type ModelSidecar, type Reply, type Send } from './modelsidecar.js';
import type { ModelStore, StoreAnswer } from './modelstore.js';
import type { Network, Process } from './network.js';
import type { RunOracle } from './runoracle.js';

const ATTEMPT_LIMIT = 3;

const UNKNOWN = { executed: Executed.EXECUTED_UNKNOWN };

/** A request as a caller sends it, with a ticket or with an idempotency key. */
interface CallerSend extends Send {
  readonly ticket: string | undefined;
  /** Upstream whose sidecar would issue a new ticket. */
  readonly upstream: UpstreamId;
  /** False if the entry has no store write left for a mapping. */
  readonly isAffordable: boolean;
}

/** Dependencies that the entries share. */
interface Environment {
  readonly network: Network;
  readonly oracle: RunOracle;
  readonly store: ModelStore;
  readonly nowMs: () => number;
  /** Returns the sidecar at an upstream's address. */
  readonly sidecarAt: (upstream: UpstreamId) => ModelSidecar;
  /** The caller's end of the connection. */
  readonly caller: Process;
}

function eventOf(answer: StoreAnswer | undefined): MappingEvent {
  if (!answer || answer.type === 'failed') return { type: 'failed' };
  if (answer.type === 'done') return { type: 'created' };
  return { type: 'found', value: answer.value };
}

/** An entry: the real mapping, ticket routing and final refusal, with modelled calls to store and sidecars. */
export class ModelEntry implements Process {
  alive = true;

  paused = false;

  /** Incarnations and heirs of sidecars that this entry has been notified of. */
  readonly heard = { incarnations: new Map<string, Incarnation>(), heirs: new Map<string, Heir>() };

  private lease: { leaseId: string; askedAtMs: number; ttlMs: number } | undefined;

  constructor(private readonly environment: Environment) {}

  take(send: CallerSend): void {
    if (send.ticket === undefined) this.map(send);
    else this.attempt(send, send.ticket, []);
  }

  private map(send: CallerSend): void {
    const { store, oracle, nowMs } = this.environment;
    const arrivedAtMs = nowMs();
    let { state } = startMapping(send.hash, arrivedAtMs);
    let runs: number | undefined;
    const onEvent = (event: MappingEvent) => {
      const change = stepMapping(state, event, nowMs());
      state = change.state;
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- an effect's outcome is the next event
      for (const effect of change.effects) perform(effect);
    };
    const ask = {
      from: this,
      key: `${send.customer}/${send.group}`,
      runs: () => oracle.runsOf(send.request),
      created: () => oracle.mapped(send.group, send.request),
      done: (answer: StoreAnswer | undefined) => {
        if (answer?.type === 'found') ({ runs } = answer);
        onEvent(eventOf(answer));
      },
    };
    const perform = (effect: MappingEffect) => {
      if (effect.type === 'ask-ticket') this.askTicket(send, onEvent);
      if (effect.type === 'read') store.read(ask);
      if (effect.type === 'create') store.create(ask, effect.value, this.leaseExpiry(arrivedAtMs));
      if (effect.type === 'bind') this.attempt(send, effect.ticket, []);
      if (effect.type !== 'refuse') return;
      this.reply(send, { type: 'refusal', refusal: effect.refusal, runs: runs ?? ask.runs() });
    };
    if (send.isAffordable) perform({ type: 'ask-ticket' });
    else onEvent({ type: 'unaffordable', retryAfterMs: 1 });
  }

  /** Returns when the lease expires under which a mapping is created. */
  private leaseExpiry(arrivedAtMs: number): number {
    const validMs = modelLimits.maxValidMs;
    if (!this.lease || !sharedLease.covers(this.lease, arrivedAtMs, validMs)) {
      const ttlMs = sharedLease.ttlMs(validMs);
      this.lease = { leaseId: 'l', askedAtMs: this.environment.nowMs(), ttlMs };
    }
    return this.lease.askedAtMs + this.lease.ttlMs;
  }

  private askTicket(send: CallerSend, onEvent: (event: MappingEvent) => void): void {
    const sidecar = this.environment.sidecarAt(send.upstream);
    this.environment.network.call<string | Refusal>({
      label: `ask ${send.upstream} for a ticket for send ${send.id}`,
      from: this,
      to: sidecar,
      serve: (reply) => sidecar.issue(send.customer, reply),
      done: (answer) => {
        const refusal = refuse(
          'sidecar-unreachable',
          'The sidecar did not answer the request for a ticket.',
        );
        if (typeof answer === 'string') onEvent({ type: 'issued', ticket: answer });
        else onEvent({ type: 'unissued', refusal: answer ?? refusal });
      },
    });
  }

  private attempt(send: CallerSend, ticket: string, before: readonly Refusal[]): void {
    const place = routeTicket(ticket, {
      incarnationOf: (upstream) => this.heard.incarnations.get(upstream) ?? (0 as Incarnation),
      heirOf: ({ upstream, incarnation }) => this.heard.heirs.get(`${upstream}.${incarnation}`),
    });
    if (place.err) {
      this.replyRefusal(send, [...before, place.val], this.environment.oracle.runsOf(send.request));
      return;
    }
    const sidecar = this.environment.sidecarAt(place.val.upstream);
    this.environment.network.call<Reply>({
      label: `send ${send.id} of ${send.request} under ${ticket}`,
      from: this,
      to: sidecar,
      serve: (reply) => sidecar.begin(ticket, send, reply),
      done: (reply) => this.onReply(send, ticket, before, reply),
    });
  }

  private onReply(
    send: CallerSend,
    ticket: string,
    before: readonly Refusal[],
    reply: Reply | undefined,
  ): void {
    if (reply?.type === 'answer') {
      this.reply(send, reply);
      return;
    }
    const lost = refuse('sidecar-lost', 'The sidecar did not answer.', UNKNOWN);
    const refusals = [...before, reply?.refusal ?? lost];
    const isUnanswered = reply === undefined;
    if (isUnanswered && refusals.length < ATTEMPT_LIMIT) this.attempt(send, ticket, refusals);
    else this.replyRefusal(send, refusals, reply?.runs ?? 0);
  }

  private replyRefusal(send: CallerSend, refusals: readonly Refusal[], runs: number): void {
    this.reply(send, { type: 'refusal', refusal: finalRefusal(refusals), runs });
  }

  private reply(send: Send, reply: Reply): void {
    const { network, oracle, caller } = this.environment;
    network.send(`tell the caller of send ${send.id}`, caller, () => {
      if (reply.type === 'answer') oracle.answered(send.request, reply.text);
      else oracle.refused(send.request, send.id, reply.refusal, reply.runs);
    });
  }
}

interface Heir {
  readonly upstream: UpstreamId;
  readonly incarnation: Incarnation;
}
