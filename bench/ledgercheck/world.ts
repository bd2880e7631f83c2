import type { Ms } from '../../src/base/index.js';
import type { FenceEvent, FenceRules } from '../../src/core/fence/index.js';
import type { ResidencyEvent, ResidencyRules } from '../../src/core/residency/index.js';
import type { EngineReport, Order } from '../../src/port/index.js';
import { ModelEngine } from './modelengine.js';
import { ModelSidecar } from './modelsidecar.js';
import { ModelStore } from './modelstore.js';

/** How a run is set up. */
interface WorldOptions {
  readonly checksFencing: boolean;
  readonly fence: FenceRules;
  readonly residency: ResidencyRules;
}

/** One copy of an order on its way. */
interface Copy {
  readonly order: Order;
  readonly from: ModelSidecar;
}

/** A question to the engine whose answer is on its way. */
interface Poll {
  readonly from: ModelSidecar;
  readonly poll: number;
  readonly report: EngineReport;
}

/** A call to the store that has not been carried out. */
interface Call {
  readonly from: ModelSidecar;
  readonly run: () => FenceEvent;
}

/** An answer on its way to a sidecar. */
interface Reply {
  readonly from: ModelSidecar;
  readonly deliver: () => void;
}

/** Something that can happen next, and how often it does beside the others. */
interface Weighed {
  readonly weight: number;
  readonly name: string;
  readonly act: (choice: number) => void;
}

const TICK_MS: Ms = 1500;

/** A pause is longer than the send window; and so is the restart of an engine (assumption 4). */
const PAUSE_MS: Ms = 2000;
const SIDECARS = 3;

const MODELS = new Map([
  ['a', { version: '1', sizeBytes: 50 }],
  ['b', { version: '1', sizeBytes: 40 }],
  ['c', { version: '1', sizeBytes: 30 }],
]);

const ADAPTERS = new Map([['x', { model: 'c', sizeBytes: 15 }]]);

const ROLES = [undefined, 'mixed', 'prefill', 'decode'] as const;

const LOST: FenceEvent = {
  type: 'store-failed',
  failure: { type: 'store-outcome-unknown', detail: 'lost' },
};

const DOWN: FenceEvent = {
  type: 'store-failed',
  failure: { type: 'store-unavailable', detail: 'down' },
};

function takeOne<Item>(items: Item[], choice: number): Item | undefined {
  if (items.length === 0) return undefined;
  return items.splice(choice % items.length, 1)[0];
}

/**
 * An engine, a store, up to three sidecars of the same upstream, and the network between them. `act` does
 * one thing out of all that could happen next; a list of choices is one interleaving.
 */
export class World {
  readonly engine: ModelEngine;

  /** First promise that was broken. */
  violation: string | undefined;

  loads = 0;

  private nowMs: Ms = 0;

  private readonly store = new ModelStore();

  private readonly sidecars: ModelSidecar[] = [];

  private started = 0;

  private copies: Copy[] = [];

  private readonly polls: Poll[] = [];

  private readonly calls: Call[] = [];

  /** Calls that were given up and are still on their way. */
  private readonly late: Call[] = [];

  private readonly replies: Reply[] = [];

  /** Orders that some sidecar has seen settled in a report. */
  private readonly shownIds = new Set<string>();

  private published: EngineReport;

  private readonly actions: readonly Weighed[];

  constructor(private readonly options: WorldOptions) {
    this.engine = new ModelEngine(options.checksFencing);
    this.published = this.engine.report();
    this.actions = this.weigh();
    this.start();
    this.settle(0);
  }

  /** Does the action that a choice stands for; the rest of the number picks its object. */
  act(choice: number): void {
    const action = this.actions[choice % this.actions.length];
    action?.act(Math.floor(choice / this.actions.length));
    if (this.engine.isOvercommitted()) {
      this.violation ??= `overcommitted: ${this.engine.usedBytes()} bytes in use`;
    }
  }

  /** The name of the action that a choice stands for. */
  nameOf(choice: number): string {
    return this.actions[choice % this.actions.length]?.name ?? '';
  }

  /** Each action as often as its weight. */
  private weigh(): Weighed[] {
    const weights: readonly Weighed[] = [
      { weight: 4, name: 'settle', act: (choice) => this.settle(choice) },
      { weight: 5, name: 'flow', act: (choice) => this.flow(choice) },
      { weight: 4, name: 'execute', act: (choice) => this.execute(choice) },
      { weight: 4, name: 'carryOut', act: (choice) => this.carryOut(choice) },
      { weight: 2, name: 'loseCall', act: (choice) => this.loseCall(choice) },
      { weight: 1, name: 'carryOutLate', act: (choice) => this.carryOutLate(choice) },
      { weight: 4, name: 'hear', act: (choice) => this.hear(choice) },
      { weight: 5, name: 'deliver', act: (choice) => this.deliver(choice) },
      { weight: 2, name: 'double', act: (choice) => this.double(choice) },
      { weight: 2, name: 'lose', act: (choice) => this.lose(choice) },
      { weight: 2, name: 'timeOut', act: (choice) => this.timeOut(choice) },
      { weight: 4, name: 'finish', act: (choice) => this.engine.finish(choice) },
      { weight: 2, name: 'publish', act: () => this.publish() },
      { weight: 3, name: 'poll', act: (choice) => this.poll(choice) },
      { weight: 3, name: 'hearReport', act: (choice) => this.hearReport(choice) },
      { weight: 2, name: 'restart', act: () => this.restart() },
      { weight: 5, name: 'plan', act: (choice) => this.plan(choice) },
      { weight: 2, name: 'rescue', act: (choice) => this.rescue(choice) },
      { weight: 1, name: 'changeDocument', act: (choice) => this.changeDocument(choice) },
      { weight: 2, name: 'pin', act: (choice) => this.pin(choice) },
      { weight: 1, name: 'unpin', act: (choice) => this.unpin(choice) },
      { weight: 3, name: 'tick', act: (choice) => this.tick(choice) },
      { weight: 2, name: 'pause', act: (choice) => this.pause(choice) },
      { weight: 4, name: 'wake', act: (choice) => this.wake(choice) },
      { weight: 2, name: 'start', act: () => this.start() },
      { weight: 1, name: 'crash', act: (choice) => this.crash(choice) },
      { weight: 1, name: 'setStore-down', act: () => this.setStore(true) },
      { weight: 3, name: 'setStore-up', act: () => this.setStore(false) },
    ];
    return weights.flatMap((weighed) => Array.from({ length: weighed.weight }, () => weighed));
  }

  private awake(choice: number): ModelSidecar | undefined {
    const awake = this.sidecars.filter(({ isPaused }) => !isPaused);
    return awake[choice % Math.max(1, awake.length)];
  }

  private start(): void {
    if (this.started >= SIDECARS) return;
    this.started += 1;
    const sidecar = new ModelSidecar(`owner-${this.started}`, this.options);
    this.sidecars.push(sidecar);
    this.giveDocument(sidecar, 0);
    sidecar.hold({ type: 'tick' }, this.nowMs);
  }

  /** The document in force at a sidecar, with either version of one model. */
  private giveDocument(sidecar: ModelSidecar, choice: number): void {
    const models = new Map(MODELS);
    if (choice % 2 === 1) models.set('c', { version: '2', sizeBytes: 35 });
    sidecar.take(
      {
        type: 'document',
        catalogue: { models, adapters: ADAPTERS },
        checksFencing: this.options.checksFencing,
        capacityBytes: ModelEngine.capacityBytes,
        kvCacheReserveBytes: ModelEngine.kvCacheBytes,
      },
      this.nowMs,
    );
  }

  private changeDocument(choice: number): void {
    const sidecar = this.awake(choice);
    if (sidecar) this.giveDocument(sidecar, Math.floor(choice / SIDECARS));
  }

  /** A sidecar does the next thing that it has decided. */
  private execute(choice: number): void {
    const sidecar = this.awake(choice);
    const sending = sidecar?.outbox.shift();
    if (!sidecar || !sending) return;
    if (sending.type === 'order') this.copies.push({ order: sending.order, from: sidecar });
    else if (sending.type === 'read-key') {
      const run = (): FenceEvent => ({ type: 'read', item: this.store.get() });
      this.calls.push({ from: sidecar, run });
    } else {
      const run = (): FenceEvent => {
        const outcome = this.store.swap(sending.expectedRevision, sending.value);
        return { type: 'swapped', outcome };
      };
      this.calls.push({ from: sidecar, run });
    }
  }

  private reply(from: ModelSidecar, event: FenceEvent): void {
    this.replies.push({ from, deliver: () => from.hold(event, this.nowMs) });
  }

  private carryOut(choice: number): void {
    const call = takeOne(this.calls, choice);
    if (call) this.reply(call.from, this.store.isDown ? DOWN : call.run());
  }

  /** The answer to a call is lost: after it took effect, before, or while it is still on its way. */
  private loseCall(choice: number): void {
    const call = takeOne(this.calls, choice);
    if (!call) return;
    if (choice % 3 === 0) call.run();
    if (choice % 3 === 1) this.late.push(call);
    this.reply(call.from, LOST);
  }

  /** A write whose answer was given up reaches the store after all. */
  private carryOutLate(choice: number): void {
    takeOne(this.late, choice)?.run();
  }

  private hear(choice: number): void {
    const heard = this.replies.filter(({ from }) => !from.isPaused);
    const reply = heard[choice % Math.max(1, heard.length)];
    if (!reply) return;
    this.replies.splice(this.replies.indexOf(reply), 1);
    reply.deliver();
  }

  private answer(from: ModelSidecar, event: ResidencyEvent): void {
    this.replies.push({ from, deliver: () => from.take(event, this.nowMs) });
  }

  private deliver(choice: number): void {
    const copy = takeOne(this.copies, choice);
    if (copy) this.arrive(copy);
  }

  private arrive({ order, from }: Copy): void {
    this.checkPins(order, from);
    if (order.action.startsWith('load')) this.loads += 1;
    const outcome = this.engine.take(order);
    this.answer(from, { type: 'answered', orderId: order.orderId, outcome });
  }

  /** A sidecar's own order takes nothing away from its own requests. */
  private checkPins(order: Order, from: ModelSidecar): void {
    if (order.action.startsWith('load') || !this.sidecars.includes(from)) return;
    const { pins, openOrders, role } = from.residency.ledger;
    const open = openOrders.get(order.orderId);
    const changesRole = order.role !== undefined && order.role !== role;
    if (open && changesRole && pins.size > 0) this.violation ??= 'role changed under a request';
    const key = open?.key;
    if (key && pins.has(key)) this.violation ??= `${key} unloaded under a request`;
  }

  private double(choice: number): void {
    const copy = this.copies[choice % Math.max(1, this.copies.length)];
    if (copy) this.arrive(copy);
  }

  private lose(choice: number): void {
    const copy = takeOne(this.copies, choice);
    if (!copy) return;
    this.answer(copy.from, {
      type: 'answered',
      orderId: copy.order.orderId,
      outcome: 'unanswered',
    });
  }

  /** The sidecar gives up waiting; the order is still on its way. */
  private timeOut(choice: number): void {
    const copy = this.copies[choice % Math.max(1, this.copies.length)];
    if (!copy) return;
    this.answer(copy.from, {
      type: 'answered',
      orderId: copy.order.orderId,
      outcome: 'unanswered',
    });
  }

  private publish(): void {
    this.published = this.engine.report();
  }

  private poll(choice: number): void {
    const sidecar = this.awake(choice);
    if (!sidecar) return;
    sidecar.polls += 1;
    this.polls.push({ from: sidecar, poll: sidecar.polls, report: this.published });
  }

  private hearReport(choice: number): void {
    const poll = takeOne(this.polls, choice);
    if (!poll || poll.from.isPaused) return;
    for (const orderId of poll.report.settledOrderIds) this.shownIds.add(orderId);
    poll.from.take({ type: 'report', poll: poll.poll, report: poll.report }, this.nowMs);
  }

  /** A copy of an order that has been seen settled ends with the engine's process (assumption 3). */
  private restart(): void {
    const isGone = (order: Order) => this.shownIds.has(order.orderId);
    this.copies = this.copies.filter(({ order }) => !isGone(order));
    for (const { outbox } of this.sidecars) {
      const left = outbox.filter((sending) => sending.type !== 'order' || !isGone(sending.order));
      outbox.splice(0, outbox.length, ...left);
    }
    this.engine.restart();
    this.nowMs += PAUSE_MS;
    this.publish();
  }

  private plan(choice: number): void {
    const sidecar = this.awake(choice);
    if (!sidecar) return;
    const pick = Math.floor(choice / SIDECARS);
    const names = [...MODELS.keys()].filter((_, bit) => Math.floor(pick / 2 ** bit) % 2 === 1);
    const adapters = Math.floor(pick / 8) % 2 === 1 ? ['x'] : [];
    const role = ROLES[Math.floor(pick / 16) % ROLES.length];
    const version = ['', '1', '2'][Math.floor(pick / 64) % 3] ?? '';
    const models = names.map((model) => ({ model, version, adapters, urgency: 0 }));
    // Every model may go, so that much is moved.
    const plan = { epoch: 1, sequence: 1, models, role, keepUntilPlaced: [] };
    sidecar.take({ type: 'plan', upstream: 'u', plan }, this.nowMs);
  }

  private rescue(choice: number): void {
    const names = [...MODELS.keys()];
    const model = names[Math.floor(choice / SIDECARS) % names.length] ?? '';
    const adapter = model === 'c' && choice % 2 === 0 ? 'x' : '';
    const replicas = names.filter((_, bit) => Math.floor(choice / 32 / 2 ** bit) % 2 === 1);
    this.awake(choice)?.take({ type: 'rescue', model, adapter, replicas }, this.nowMs);
  }

  private pin(choice: number): void {
    const model = [...MODELS.keys()][choice % MODELS.size] ?? '';
    this.awake(Math.floor(choice / 3))?.take({ type: 'pin', model, adapter: '' }, this.nowMs);
  }

  private unpin(choice: number): void {
    const sidecar = this.awake(choice);
    const keys = sidecar?.requests.shift();
    if (keys) sidecar?.take({ type: 'unpin', keys }, this.nowMs);
  }

  private tick(choice: number): void {
    this.nowMs += TICK_MS;
    const sidecar = this.awake(choice);
    sidecar?.hold({ type: 'tick' }, this.nowMs);
    sidecar?.take({ type: 'tick' }, this.nowMs);
  }

  private pause(choice: number): void {
    const sidecar = this.awake(choice);
    if (sidecar) sidecar.isPaused = true;
  }

  private wake(choice: number): void {
    const sidecar = this.sidecars[choice % Math.max(1, this.sidecars.length)];
    if (!sidecar?.isPaused) return;
    sidecar.isPaused = false;
    this.nowMs += PAUSE_MS;
  }

  /** The process dies: what it decided but did not send is gone, what it sent is not. */
  private crash(choice: number): void {
    if (this.sidecars.length < 2) return;
    const sidecar = takeOne(this.sidecars, choice);
    if (!sidecar) return;
    sidecar.isPaused = true;
    sidecar.outbox.splice(0);
  }

  private setStore(isDown: boolean): void {
    this.store.isDown = isDown;
  }

  /** One sidecar's calls to the store run through without a fault; its orders leave. */
  private flow(choice: number): void {
    const sidecar = this.awake(choice);
    if (!sidecar) return;
    for (let round = 0; round < 4; round += 1) {
      while (sidecar.outbox.length > 0) this.execute(this.indexOf(sidecar));
      for (const call of this.calls.splice(0)) {
        this.reply(call.from, this.store.isDown ? DOWN : call.run());
      }
      this.hearAll(sidecar);
    }
  }

  private indexOf(sidecar: ModelSidecar): number {
    return this.sidecars.filter(({ isPaused }) => !isPaused).indexOf(sidecar);
  }

  private hearAll(sidecar: ModelSidecar): void {
    const mine = this.replies.filter(({ from }) => from === sidecar);
    for (const reply of mine) {
      this.replies.splice(this.replies.indexOf(reply), 1);
      reply.deliver();
    }
  }

  /** Everything of one sidecar runs through without a fault, and it sees the result. */
  private settle(choice: number): void {
    const sidecar = this.awake(choice);
    if (!sidecar) return;
    this.flow(choice);
    const mine = this.copies.filter(({ from }) => from === sidecar);
    this.copies = this.copies.filter(({ from }) => from !== sidecar);
    for (const copy of mine) this.arrive(copy);
    this.engine.finishAll();
    this.hearAll(sidecar);
    this.publish();
    this.poll(this.indexOf(sidecar));
    this.hearReport(this.polls.length - 1);
  }
}
