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
import { DemandCounter } from './demandcounter.js';
import { EngineDrain } from './enginedrain.js';
import { documentEvent } from './documentevent.js';
import { followDocument } from './followdocument.js';
import { OrderSender } from './ordersender.js';
import { planOf } from './planof.js';
import { RecordPublisher } from './recordpublisher.js';
import { refusalOf } from './refusalof.js';
import { ReportPoller } from './reportpoller.js';
import type { ResidencyPorts } from './residencyports.js';
import { residentsOf } from './residentsof.js';

const TICK_MS: Ms = 250;

/** Interval at which new demand is published while nothing else changes. */
const DEMAND_INTERVAL_MS: Ms = 5000;

/** Phase in the published record for each phase of the drain. */
const RECORD_PHASE = {
  serving: 'ready',
  finishing: 'leaving',
  placing: 'leaving',
  gone: 'gone',
} as const satisfies Record<DrainPhase, string>;

type EffectOf<Type extends ResidencyEffect['type']> = Extract<ResidencyEffect, { type: Type }>;

/** Shell of the residency core of an engine: passes events in and performs the effects. */
export class EngineResidency implements Residency {
  private state: ReturnType<typeof emptyResidency>;

  private address: string;

  private publishedDemand = 0;

  private publishedAtMs: Ms = 0;

  private cancelTick: (() => void) | undefined;

  private readonly demand = new DemandCounter();

  private readonly publisher: RecordPublisher;

  private readonly sender: OrderSender;

  private readonly poll: ReportPoller;

  private readonly engineDrain: EngineDrain;

  constructor(private readonly ports: ResidencyPorts) {
    const { settings, clock, engine, intents, onLeaving, onStop } = ports;
    this.state = emptyResidency(settings.upstream);
    this.address = settings.listen;
    this.publisher = new RecordPublisher(ports);
    this.sender = new OrderSender(ports, (event) => this.take(event));
    const isBusy = () => this.state.ledger.openOrders.size > 0;
    this.poll = new ReportPoller(engine, clock, isBusy, (poll, answer) => {
      if (answer.ok) this.take({ type: 'report', poll, report: answer.val });
      else this.missed(answer.val.type);
    });
    this.engineDrain = new EngineDrain({
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
    intents.listen((effect) => this.onFence(effect));
    onLeaving(() => this.engineDrain.begin('host-list'));
    onStop(() => this.end());
    this.tick();
    void this.poll.ask();
  }

  pin(model: string, adapter: string): Result<() => void, Refusal> {
    this.demand.countRequest(model);
    const [answer] = this.take({ type: 'pin', model, adapter });
    if (answer?.type === 'pinned') return result.Ok(this.unpinner(model, answer.keys));
    this.demand.countRefusal(model);
    return result.Err(refusalOf((answer as EffectOf<'refused'>).failure));
  }

  place(plan: PlacementPlan): PlacementReply {
    const { upstream } = plan;
    const [answer] = this.take({ type: 'plan', upstream, plan: planOf(plan) });
    const { accepted, epoch, failure } = answer as EffectOf<'plan-answered'>;
    this.engineDrain.checkPlacement();
    return { accepted, epoch, refusal: failure && refusalOf(failure) };
  }

  rescue({ model, adapter, heldElsewhere: replicas }: RescueRequest): RescueReply {
    const [answer] = this.take({ type: 'rescue', model, adapter, replicas });
    if (answer?.type !== 'rescue-accepted') {
      const refusal = refusalOf((answer as EffectOf<'refused'>).failure);
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
    this.engineDrain.begin('stop');
  }

  /** Resolves when the planner has placed the models elsewhere or the timeout has expired. */
  stop(): Promise<void> {
    this.leave();
    return this.engineDrain.gone();
  }

  private unpinner(model: string, keys: readonly HoldingKey[]): () => void {
    const { clock } = this.ports;
    const sinceMs = clock.nowMs();
    let isPinned = true;
    this.engineDrain.count(1);
    return () => {
      if (!isPinned) return;
      isPinned = false;
      this.demand.addServiceTime(model, clock.nowMs() - sinceMs);
      this.take({ type: 'unpin', keys });
      this.engineDrain.count(-1);
    };
  }

  private onFence(effect: Parameters<FenceListener>[0]): void {
    if (effect.type === 'taken') {
      this.take({ ...effect, poll: this.poll.lastPoll });
      this.poll.pollNow();
    } else if (effect.type === 'recorded') this.take(effect);
    else this.take({ type: effect.type });
  }

  private take(event: ResidencyEvent): readonly ResidencyEffect[] {
    const change = stepResidency(this.state, event, this.ports.clock.nowMs());
    this.state = change.state;
    for (const effect of change.effects) this.perform(effect);
    if (this.state.isLeaving) this.engineDrain.begin('engine');
    return change.effects;
  }

  private perform(effect: ResidencyEffect): void {
    if (effect.type === 'order') void this.sender.send(effect.order);
    else if (effect.type === 'intents') this.ports.intents.setIntents(effect.intents);
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
    const contents = { residents: this.residents(), freeBytes: this.freeBytes(), role };
    const phase = RECORD_PHASE[this.engineDrain.phase()];
    this.publisher.publish({ ...contents, phase, demand: this.demand.list() }, this.address);
    this.publishedDemand = this.demand.total;
    this.publishedAtMs = this.ports.clock.nowMs();
  }

  private tick(): void {
    this.take({ type: 'tick' });
    this.engineDrain.checkPlacement();
    this.updateGauges();
    const isDue = this.ports.clock.nowMs() - this.publishedAtMs >= DEMAND_INTERVAL_MS;
    if (isDue && this.demand.total > this.publishedDemand) this.publish();
    this.cancelTick = this.ports.clock.after(TICK_MS, () => this.tick());
  }

  private updateGauges(): void {
    const { ledger } = this.state;
    const unknown = [...ledger.openOrders.values()].filter(({ phase }) => phase === 'unknown');
    this.ports.metrics.gauge('residency.committed_bytes', committedBytes(ledger));
    this.ports.metrics.gauge('residency.free_bytes', freeBytes(ledger));
    this.ports.metrics.gauge('order.unknown', unknown.length);
  }

  private end(): void {
    this.poll.stop();
    this.cancelTick?.();
  }
}
