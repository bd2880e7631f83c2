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
import type { Choice, Outcome, RouteRequest } from '../component/index.js';

/** Requests an on-demand load from a sidecar. Resolves with undefined if it did not answer. */
type RequestLoad = (
  effect: Extract<RoutingEffect, { type: 'rescue' }>,
  heldElsewhere: readonly ModelId[],
) => Promise<RescueReply | undefined>;

/** Reports the new phase of an upstream. */
type ReportPhase = (upstream: UpstreamId, from: string, to: string) => void;

type Chosen = Result<Choice, Refusal>;

const TICK_MS = 100;

/** Membership event by the way in which an attempt ended. */
const MEMBER_EVENTS: Readonly<Record<Outcome['type'], 'heard' | 'failed' | undefined>> = {
  answered: 'heard',
  refused: 'heard',
  broken: 'failed',
  unreachable: 'failed',
  cancelled: undefined,
};

/** Routing of one service: its membership and routing cores, and the requests that wait for an upstream. */
export class ServiceRouting {
  private members: MemberState = { members: new Map() };

  private routing: RoutingState;

  private readonly pending = new Map<string, (chosen: Chosen) => void>();

  private tickedAtMs = 0;

  private cancelTick: (() => void) | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly requestLoad: RequestLoad,
    private readonly reportPhase: ReportPhase,
    availabilityZone: string,
    seed: number,
  ) {
    this.routing = createRouting(availabilityZone, seed);
  }

  choose(request: RouteRequest): Promise<Chosen> {
    if (this.clock.nowMs() - this.tickedAtMs >= TICK_MS) this.tick();
    return new Promise((resolve) => {
      this.pending.get(request.requestId)?.(
        result.Err(
          refuse(
            'request-repeated',
            'The request asked for an upstream again while it was waiting for one.',
          ),
        ),
      );
      this.pending.set(request.requestId, resolve);
      this.step({ type: 'want', want: request });
    });
  }

  recordOutcome({ upstream, request, type, load, refusal }: Outcome): void {
    const { requestId, target, prefixHash } = request;
    const memberEvent =
      refusal?.type === 'upstream-leaving' ? 'refused-leaving' : MEMBER_EVENTS[type];
    if (memberEvent) this.observe({ type: memberEvent, upstream });
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

  release(requestId: RequestId): void {
    this.step({ type: 'abandoned', requestId });
    const gone = refuse('cancelled', 'The request needs no upstream any more.');
    this.resolve(requestId, result.Err(gone));
  }

  adopt(record: UpstreamRecord): void {
    this.observe({
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

  /** Passes an observation of liveness to membership, and the resulting phase changes to routing. */
  observe(event: MemberEvent): void {
    const { state, effects } = stepMember(this.members, event, this.clock.nowMs());
    this.members = state;
    for (const { upstream, from, to, incarnation } of effects) {
      this.step({ type: 'member', upstream, phase: to, incarnation });
      if (from !== to) this.reportPhase(upstream, from, to);
    }
  }

  step(event: RoutingEvent): void {
    const { state, effects } = stepRouting(this.routing, event, this.clock.nowMs());
    this.routing = state;
    for (const effect of effects) this.perform(effect);
    this.tickWhileWaiting();
  }

  stop(): void {
    this.cancelTick?.();
    this.cancelTick = undefined;
  }

  private perform(effect: RoutingEffect): void {
    if (effect.type === 'rescue') void this.load(effect);
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

  private async load(effect: Extract<RoutingEffect, { type: 'rescue' }>): Promise<void> {
    const { target, upstream } = effect;
    const sharedBeforeMs = this.clock.nowMs() - routingLimits.minResidencyMs;
    const before = effect.sharing ? sharedBeforeMs : undefined;
    const reply = await this.requestLoad(effect, heldElsewhere(this.routing, upstream, before));
    this.step({ type: 'rescued', target, upstream, reply });
  }

  private tick(): void {
    this.tickedAtMs = this.clock.nowMs();
    this.observe({ type: 'tick' });
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
