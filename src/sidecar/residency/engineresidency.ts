import type { Result } from 'ts-results';
import { result, type Ms } from '../../base/index.js';
import type { DrainPhase } from '../../core/drain/index.js';
import { committedBytes, freeBytes, type HoldingKey } from '../../core/ledger/index.js';
import {
  emptyResidency,
  readyInMs,
  stepResidency,
  unplacedOf,
  type ResidencyEffect,
  type ResidencyEvent,
} from '../../core/residency/index.js';
import type {
  PlacementPlan,
  PlacementReply,
  Refusal,
  RescueReply,
  RescueRequest,
  Resident,
} from '../../wire/index.js';
import type { FenceListener, Residency } from '../part/index.js';
import { addressOf } from './addressof.js';
import { DemandCount } from './demandcount.js';
import { Departure } from './departure.js';
import { documentEvent } from './documentevent.js';
import { followDocument } from './followdocument.js';
import { OrderSender } from './ordersender.js';
import { planOf } from './planof.js';
import { RecordPublisher } from './recordpublisher.js';
import { refusalOf } from './refusalof.js';
import { ReportPoll } from './reportpoll.js';
import type { ResidencyPorts } from './residencyports.js';
import { residentsOf } from './residentsof.js';

const TICK_MS: Ms = 250;

/** How often counted demand is told when nothing else changes. */
const DEMAND_MS: Ms = 5000;

/** Phase of the record in each phase of leaving. */
const TOLD_PHASE = {
  serving: 'ready',
  finishing: 'leaving',
  placing: 'leaving',
  gone: 'gone',
} as const satisfies Record<DrainPhase, string>;

type Find<Type extends ResidencyEffect['type']> = Extract<ResidencyEffect, { type: Type }>;

/** Carries events into the core of an engine's memory, and its effects out. */
export class EngineResidency implements Residency {
  private state: ReturnType<typeof emptyResidency>;

  private address: string;

  private demandTold = 0;

  private demandToldAtMs: Ms = 0;

  private endTicks: (() => void) | undefined;

  private readonly demand = new DemandCount();

  private readonly publisher: RecordPublisher;

  private readonly sender: OrderSender;

  private readonly poll: ReportPoll;

  private readonly departure: Departure;

  constructor(private readonly ports: ResidencyPorts) {
    const { settings, clock, engine, intents, onLeaving, onStop } = ports;
    this.state = emptyResidency(settings.upstream);
    this.address = settings.listen;
    this.publisher = new RecordPublisher(ports);
    this.sender = new OrderSender(ports, (event) => this.take(event));
    const isBusy = () => this.state.ledger.openOrders.size > 0;
    this.poll = new ReportPoll(engine, clock, isBusy, (poll, answer) => {
      if (answer.ok) this.take({ type: 'report', poll, report: answer.val });
      else this.missed(answer.val.type);
    });
    this.departure = new Departure({
      clock,
      log: ports.log,
      unplaced: () => unplacedOf(this.state, clock.nowMs()),
      refuse: () => this.take({ type: 'leave' }),
      publish: () => this.publish(),
    });
    followDocument(ports, (document) => {
      const event = documentEvent(document, settings.upstream);
      if (!event) return;
      this.address = addressOf(document, settings.upstream) ?? settings.listen;
      this.take(event);
    });
    intents.listen((effect) => this.hearFence(effect));
    onLeaving(() => this.departure.begin('host-list'));
    onStop(() => this.end());
    this.tick();
    void this.poll.ask();
  }

  pin(model: string, adapter: string): Result<() => void, Refusal> {
    this.demand.asked(model);
    const [answer] = this.take({ type: 'pin', model, adapter });
    if (answer?.type === 'pinned') return result.Ok(this.unpinOnce(model, answer.keys));
    this.demand.refused(model);
    return result.Err(refusalOf((answer as Find<'refused'>).failure));
  }

  place(plan: PlacementPlan): PlacementReply {
    const { upstream } = plan;
    const [answer] = this.take({ type: 'plan', upstream, plan: planOf(plan) });
    const { accepted, epoch, failure } = answer as Find<'plan-answered'>;
    this.departure.look();
    return { accepted, epoch, refusal: failure && refusalOf(failure) };
  }

  rescue({ model, adapter, heldElsewhere: replicas }: RescueRequest): RescueReply {
    const [answer] = this.take({ type: 'rescue', model, adapter, replicas });
    if (answer?.type !== 'rescue-accepted') {
      const refusal = refusalOf((answer as Find<'refused'>).failure);
      return { accepted: false, estimatedReadyMs: 0, refusal };
    }
    return { accepted: true, estimatedReadyMs: answer.estimatedReadyMs, refusal: undefined };
  }

  residents(): readonly Resident[] {
    return residentsOf(this.state);
  }

  freeBytes(): number {
    return freeBytes(this.state.ledger);
  }

  expectedReadyMs(model: string): Ms | undefined {
    return readyInMs(this.state, model, this.ports.clock.nowMs());
  }

  leave(): void {
    this.departure.begin('stop');
  }

  /** Resolves when the planner has placed the models elsewhere, or the time is up. */
  stop(): Promise<void> {
    this.leave();
    return this.departure.gone();
  }

  private unpinOnce(model: string, keys: readonly HoldingKey[]): () => void {
    const { clock } = this.ports;
    const sinceMs = clock.nowMs();
    let isPinned = true;
    this.departure.count(1);
    return () => {
      if (!isPinned) return;
      isPinned = false;
      this.demand.served(model, clock.nowMs() - sinceMs);
      this.take({ type: 'unpin', keys });
      this.departure.count(-1);
    };
  }

  private hearFence(effect: Parameters<FenceListener>[0]): void {
    if (effect.type === 'taken') {
      this.take({ ...effect, poll: this.poll.asked });
      this.poll.hurry();
    } else if (effect.type === 'recorded') this.take(effect);
    else this.take({ type: effect.type });
  }

  private take(event: ResidencyEvent): readonly ResidencyEffect[] {
    const change = stepResidency(this.state, event, this.ports.clock.nowMs());
    this.state = change.state;
    for (const effect of change.effects) this.carryOut(effect);
    if (this.state.isLeaving) this.departure.begin('engine');
    return change.effects;
  }

  private carryOut(effect: ResidencyEffect): void {
    if (effect.type === 'order') void this.sender.send(effect.order);
    else if (effect.type === 'intents') this.ports.intents.want(effect.intents);
    else if (effect.type === 'resolved') this.sender.settled(effect.open.order);
    else if (effect.type === 'changed') this.publish();
  }

  private missed(failure: string): void {
    this.ports.metrics.count('residency.report_missed', 1, { type: failure });
    if (failure === 'upstream-refused') this.take({ type: 'unreported' });
  }

  private publish(): void {
    const { engineId } = this.state.ledger;
    if (engineId === undefined && this.state.isManaged) return;
    const { role } = this.state.ledger;
    const told = { residents: this.residents(), freeBytes: this.freeBytes(), role };
    const phase = TOLD_PHASE[this.departure.phase()];
    this.publisher.publish({ ...told, phase, demand: this.demand.list() }, this.address);
    this.demandTold = this.demand.total;
    this.demandToldAtMs = this.ports.clock.nowMs();
  }

  private tick(): void {
    this.take({ type: 'tick' });
    this.departure.look();
    this.measure();
    const isOld = this.ports.clock.nowMs() - this.demandToldAtMs >= DEMAND_MS;
    if (isOld && this.demand.total > this.demandTold) this.publish();
    this.endTicks = this.ports.clock.after(TICK_MS, () => this.tick());
  }

  private measure(): void {
    const { ledger } = this.state;
    const unknown = [...ledger.openOrders.values()].filter(({ phase }) => phase === 'unknown');
    this.ports.metrics.gauge('residency.committed_bytes', committedBytes(ledger));
    this.ports.metrics.gauge('residency.free_bytes', freeBytes(ledger));
    this.ports.metrics.gauge('order.unknown', unknown.length);
  }

  private end(): void {
    this.poll.stop();
    this.endTicks?.();
  }
}
