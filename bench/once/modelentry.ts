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
import { LIMITS, type ModelSidecar, type Reply, type Send } from './modelsidecar.js';
import type { ModelStore, StoreAnswer } from './modelstore.js';
import type { Network, Process } from './network.js';
import type { Witness } from './witness.js';

const ATTEMPT_LIMIT = 3;

const UNKNOWN = { executed: Executed.EXECUTED_UNKNOWN };

/** A send with what its caller holds: a ticket, or a key. */
interface CallerSend extends Send {
  readonly ticket: string | undefined;
  /** Upstream that a new ticket would be asked of. */
  readonly upstream: UpstreamId;
  readonly isAffordable: boolean;
}

/** What the entries share. */
interface Surroundings {
  readonly network: Network;
  readonly witness: Witness;
  readonly store: ModelStore;
  readonly nowMs: () => number;
  /** The sidecar that answers at an upstream's address. */
  readonly sidecarAt: (upstream: UpstreamId) => ModelSidecar;
  /** The caller's end of the connection. */
  readonly caller: Process;
}

function eventOf(answer: StoreAnswer | undefined): MappingEvent {
  if (!answer || answer.type === 'failed') return { type: 'failed' };
  if (answer.type === 'done') return { type: 'created' };
  return { type: 'found', value: answer.value };
}

/** One entry: the real mapping, routing and conclusion, with modelled calls between them. */
export class ModelEntry implements Process {
  alive = true;

  paused = false;

  /** What this entry has heard of sidecars. */
  readonly heard = { incarnations: new Map<string, Incarnation>(), heirs: new Map<string, Heir>() };

  private lease: { leaseId: string; askedAtMs: number; ttlMs: number } | undefined;

  constructor(private readonly around: Surroundings) {}

  take(send: CallerSend): void {
    if (send.ticket === undefined) this.map(send);
    else this.attempt(send, send.ticket, []);
  }

  private map(send: CallerSend): void {
    const { store, witness, nowMs } = this.around;
    const arrivedAtMs = nowMs();
    let { state } = startMapping(send.hash, arrivedAtMs);
    let runs: number | undefined;
    const happen = (event: MappingEvent) => {
      const change = stepMapping(state, event, nowMs());
      state = change.state;
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- an effect's outcome is the next event
      for (const effect of change.effects) perform(effect);
    };
    const ask = {
      from: this,
      key: `${send.customer}/${send.group}`,
      runs: () => witness.runsOf(send.request),
      created: () => witness.mapped(send.group, send.request),
      done: (answer: StoreAnswer | undefined) => {
        if (answer?.type === 'found') ({ runs } = answer);
        happen(eventOf(answer));
      },
    };
    const perform = (effect: MappingEffect) => {
      if (effect.type === 'ask-ticket') this.askTicket(send, happen);
      if (effect.type === 'read') store.read(ask);
      if (effect.type === 'create') store.create(ask, effect.value, this.leaseFor(arrivedAtMs));
      if (effect.type === 'bind') this.attempt(send, effect.ticket, []);
      if (effect.type !== 'refuse') return;
      this.tell(send, { type: 'refusal', refusal: effect.refusal, runs: runs ?? ask.runs() });
    };
    if (send.isAffordable) perform({ type: 'ask-ticket' });
    else happen({ type: 'unaffordable', retryAfterMs: 1 });
  }

  /** Time at which the lease lapses that a mapping is to be made under. */
  private leaseFor(arrivedAtMs: number): number {
    const validMs = LIMITS.maxValidMs;
    if (!this.lease || !sharedLease.covers(this.lease, arrivedAtMs, validMs)) {
      const ttlMs = sharedLease.ttlMs(validMs);
      this.lease = { leaseId: 'l', askedAtMs: this.around.nowMs(), ttlMs };
    }
    return this.lease.askedAtMs + this.lease.ttlMs;
  }

  private askTicket(send: CallerSend, happen: (event: MappingEvent) => void): void {
    const sidecar = this.around.sidecarAt(send.upstream);
    this.around.network.call<string | Refusal>({
      label: `ask ${send.upstream} for a ticket for send ${send.id}`,
      from: this,
      to: sidecar,
      serve: (reply) => sidecar.issue(send.customer, reply),
      done: (answer) => {
        const refusal = refuse('sidecar-unreachable', 'No ticket came.');
        if (typeof answer === 'string') happen({ type: 'issued', ticket: answer });
        else happen({ type: 'unissued', refusal: answer ?? refusal });
      },
    });
  }

  private attempt(send: CallerSend, ticket: string, before: readonly Refusal[]): void {
    const place = routeTicket(ticket, {
      incarnationOf: (upstream) => this.heard.incarnations.get(upstream) ?? (0 as Incarnation),
      heirOf: ({ upstream, incarnation }) => this.heard.heirs.get(`${upstream}.${incarnation}`),
    });
    if (place.err) {
      this.refused(send, [...before, place.val], this.around.witness.runsOf(send.request));
      return;
    }
    const sidecar = this.around.sidecarAt(place.val.upstream);
    this.around.network.call<Reply>({
      label: `send ${send.id} of ${send.request} under ${ticket}`,
      from: this,
      to: sidecar,
      serve: (reply) => sidecar.begin(ticket, send, reply),
      done: (reply) => this.attempted(send, ticket, before, reply),
    });
  }

  private attempted(
    send: CallerSend,
    ticket: string,
    before: readonly Refusal[],
    reply: Reply | undefined,
  ): void {
    if (reply?.type === 'answer') {
      this.tell(send, reply);
      return;
    }
    const lost = refuse('sidecar-lost', 'No answer came.', UNKNOWN);
    const refusals = [...before, reply?.refusal ?? lost];
    const isSilent = reply === undefined;
    if (isSilent && refusals.length < ATTEMPT_LIMIT) this.attempt(send, ticket, refusals);
    else this.refused(send, refusals, reply?.runs ?? 0);
  }

  private refused(send: CallerSend, refusals: readonly Refusal[], runs: number): void {
    this.tell(send, { type: 'refusal', refusal: finalRefusal(refusals), runs });
  }

  private tell(send: Send, reply: Reply): void {
    const { network, witness, caller } = this.around;
    network.tell(`tell the caller of send ${send.id}`, caller, () => {
      if (reply.type === 'answer') witness.answered(send.request, reply.text);
      else witness.refused(send.request, send.id, reply.refusal, reply.runs);
    });
  }
}

interface Heir {
  readonly upstream: UpstreamId;
  readonly incarnation: Incarnation;
}
