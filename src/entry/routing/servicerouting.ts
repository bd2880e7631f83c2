import type { Result } from 'ts-results';
import {
  result,
  type Clock,
  type Incarnation,
  type ModelId,
  type RequestId,
  type UpstreamId,
} from '../../base/index.js';
import {
  stepMember,
  type MemberEvent,
  type MemberPhase,
  type MemberState,
} from '../../core/member/index.js';
import { refuse } from '../../core/refusal/index.js';
import {
  createRouting,
  heldElsewhere,
  routingLimits,
  stepRouting,
  type RoutingEffect,
  type RoutingEvent,
  type RoutingState,
} from '../../core/routing/index.js';
import type { Refusal, RescueReply, UpstreamRecord } from '../../wire/index.js';
import type { Choice, Outcome, Want } from '../part/index.js';

/** Asks a sidecar to load a model; undefined if it gave no answer. */
type AskRescue = (
  effect: Extract<RoutingEffect, { type: 'rescue' }>,
  heldElsewhere: readonly ModelId[],
) => Promise<RescueReply | undefined>;

/** Tells of a member's new phase. */
type TellMember = (upstream: UpstreamId, from: string, to: string) => void;

type Chosen = Result<Choice, Refusal>;

const TICK_MS = 100;

/** Which news an attempt's end is for membership. */
const SIGNS: Readonly<Record<Outcome['type'], 'heard' | 'failed' | undefined>> = {
  answered: 'heard',
  refused: 'heard',
  broken: 'failed',
  unreachable: 'failed',
  cancelled: undefined,
};

/** Routing of one service: its two cores, and the requests that wait for a choice. */
export class ServiceRouting {
  private members: MemberState = { members: new Map() };

  private routing: RoutingState;

  private readonly pending = new Map<string, (chosen: Chosen) => void>();

  private tickedAtMs = 0;

  private cancelTick: (() => void) | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly askRescue: AskRescue,
    private readonly tellMember: TellMember,
    availabilityZone: string,
    seed: number,
  ) {
    this.routing = createRouting(availabilityZone, seed);
  }

  choose(want: Want): Promise<Chosen> {
    if (this.clock.nowMs() - this.tickedAtMs >= TICK_MS) this.tick();
    return new Promise((resolve) => {
      this.pending.get(want.requestId)?.(
        result.Err(refuse('request-repeated', 'The same request asked for an upstream again.')),
      );
      this.pending.set(want.requestId, resolve);
      this.step({ type: 'want', want });
    });
  }

  learn({ upstream, want, type, load, refusal }: Outcome): void {
    const { requestId, target, prefixHash } = want;
    const sign = refusal?.type === 'upstream-leaving' ? 'refused-leaving' : SIGNS[type];
    if (sign) this.hear({ type: sign, upstream });
    this.step({
      type: 'outcome',
      requestId,
      upstream,
      target,
      prefixHash,
      end: type,
      load,
      refusal,
    });
  }

  abandon(requestId: RequestId): void {
    this.step({ type: 'abandoned', requestId });
    const gone = refuse('cancelled', 'The request needs no upstream any more.');
    this.resolve(requestId, result.Err(gone));
  }

  adopt(record: UpstreamRecord): void {
    this.hear({
      type: 'recorded',
      upstream: record.upstream as UpstreamId,
      incarnation: record.incarnation as Incarnation,
      phase: record.phase,
    });
    this.step({ type: 'recorded', record });
  }

  phases(): ReadonlyMap<UpstreamId, MemberPhase> {
    return new Map([...this.members.members].map(([id, { phase }]) => [id, phase]));
  }

  /** Gives news of liveness to membership, and what follows from it to routing. */
  hear(event: MemberEvent): void {
    const { state, effects } = stepMember(this.members, event, this.clock.nowMs());
    this.members = state;
    for (const { upstream, from, to, incarnation } of effects) {
      this.step({ type: 'member', upstream, phase: to, incarnation });
      if (from !== to) this.tellMember(upstream, from, to);
    }
  }

  step(event: RoutingEvent): void {
    const { state, effects } = stepRouting(this.routing, event, this.clock.nowMs());
    this.routing = state;
    for (const effect of effects) this.carryOut(effect);
    this.tickWhileWaiting();
  }

  stop(): void {
    this.cancelTick?.();
    this.cancelTick = undefined;
  }

  private carryOut(effect: RoutingEffect): void {
    if (effect.type === 'rescue') void this.rescue(effect);
    else if (effect.type === 'refuse') this.resolve(effect.requestId, result.Err(effect.refusal));
    else {
      const { upstream, sidecarAddress, incarnation } = effect;
      this.resolve(effect.requestId, result.Ok({ upstream, sidecarAddress, incarnation }));
    }
  }

  private resolve(requestId: string, chosen: Chosen): void {
    this.pending.get(requestId)?.(chosen);
    this.pending.delete(requestId);
  }

  private async rescue(effect: Extract<RoutingEffect, { type: 'rescue' }>): Promise<void> {
    const { target, upstream } = effect;
    const sharedBeforeMs = this.clock.nowMs() - routingLimits.minResidencyMs;
    const before = effect.sharing ? sharedBeforeMs : undefined;
    const reply = await this.askRescue(effect, heldElsewhere(this.routing, upstream, before));
    this.step({ type: 'rescued', target, upstream, reply });
  }

  private tick(): void {
    this.tickedAtMs = this.clock.nowMs();
    this.hear({ type: 'tick' });
    this.step({ type: 'tick' });
  }

  private tickWhileWaiting(): void {
    if (this.cancelTick || this.routing.waiting.size === 0) return;
    this.cancelTick = this.clock.after(TICK_MS, () => {
      this.cancelTick = undefined;
      this.tick();
    });
  }
}
