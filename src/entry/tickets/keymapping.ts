import type { Result } from 'ts-results';
import { result, type Ms, type Revision } from '../../base/index.js';
import {
  startMapping,
  stepMapping,
  type MappingEffect,
  type MappingEvent,
  type MappingState,
} from '../../core/idempotency/index.js';
import type { KeyValueStore } from '../../port/index.js';
import type { Refusal, TicketReply } from '../../wire/index.js';
import type { Context } from '../component/index.js';
import type { SharedLeases } from './sharedleases.js';

/** Expected revision of a key that does not exist yet. */
const ABSENT = 0 as Revision;

/** What the mapping of one key requires. */
interface Ports extends Pick<Context, 'clock'> {
  readonly store: KeyValueStore;
  readonly leases: SharedLeases;
  /** Takes one write from this entry's budget; false if the budget is spent. */
  readonly takeWrite: () => boolean;
  readonly retryAfterMs: Ms;
  readonly askTicket: () => Promise<Result<TicketReply, Refusal>>;
}

/** The key to map, and the request that carries it. */
interface KeyRequest {
  readonly key: string;
  readonly requestHash: string;
  readonly ticketValidMs: Ms;
}

type EffectHandler<Type extends MappingEffect['type']> = (
  effect: Extract<MappingEffect, { type: Type }>,
) => Promise<MappingEvent>;

/** Maps one `Idempotency-Key` to its ticket: performs the effects of the mapping core at the store and a sidecar. */
export class KeyMapping {
  private state: MappingState;

  private readonly arrivedAtMs: Ms;

  private readonly handlers: {
    readonly [Type in Exclude<MappingEffect['type'], 'bind' | 'refuse'>]: EffectHandler<Type>;
  } = {
    'ask-ticket': () => this.askTicket(),
    create: ({ value }) => this.create(value),
    read: () => this.read(),
  };

  constructor(
    private readonly ports: Ports,
    private readonly wanted: KeyRequest,
  ) {
    this.arrivedAtMs = ports.clock.nowMs();
    this.state = startMapping(wanted.requestHash, this.arrivedAtMs).state;
  }

  /** Resolves with the key's ticket, or with the refusal of the request. */
  async run(): Promise<Result<string, Refusal>> {
    let [effect] = startMapping(this.wanted.requestHash, this.arrivedAtMs).effects;
    while (effect) {
      if (effect.type === 'bind') return result.Ok(effect.ticket);
      if (effect.type === 'refuse') return result.Err(effect.refusal);
      const act = this.handlers[effect.type] as (effect: MappingEffect) => Promise<MappingEvent>;
      const event = await act(effect);
      const change = stepMapping(this.state, event, this.ports.clock.nowMs());
      this.state = change.state;
      [effect] = change.effects;
    }
    return result.Err(this.state.reason);
  }

  private async askTicket(): Promise<MappingEvent> {
    const { takeWrite, retryAfterMs, askTicket } = this.ports;
    if (!takeWrite()) return { type: 'unaffordable', retryAfterMs };
    const reply = await askTicket();
    if (reply.err) return { type: 'unissued', refusal: reply.val };
    return { type: 'issued', ticket: reply.val.ticket };
  }

  private async create(value: string): Promise<MappingEvent> {
    const { key, ticketValidMs } = this.wanted;
    const { leases, store } = this.ports;
    const lease = await leases.leaseFor(this.arrivedAtMs, ticketValidMs);
    if (lease.err) return { type: 'failed' };
    const swapped = await store.swap({ key, expectedRevision: ABSENT, value, leaseId: lease.val });
    if (swapped.err) {
      if (swapped.val.type === 'store-lease-lapsed') leases.discard(ticketValidMs);
      return { type: 'failed' };
    }
    if (swapped.val.type === 'swapped') return { type: 'created' };
    return { type: 'found', value: swapped.val.current?.value };
  }

  private async read(): Promise<MappingEvent> {
    const found = await this.ports.store.get(this.wanted.key);
    return found.err ? { type: 'failed' } : { type: 'found', value: found.val?.value };
  }
}
