import type { Ms } from '../../src/base/index.js';
import type { FenceEvent, FenceRules } from '../../src/core/fence/index.js';
import type { ResidencyEvent, ResidencyRules } from '../../src/core/residency/index.js';
import type { EngineReport, Order } from '../../src/port/index.js';
import { ModelEngine } from './modelengine.js';
import { ModelSidecar } from './modelsidecar.js';
import { ModelStore } from './modelstore.js';

interface WorldOptions {
  readonly checksFencing: boolean;
  readonly fence: FenceRules;
  readonly residency: ResidencyRules;
}

/** A copy of an order in transit to the engine. */
interface OrderCopy {
  readonly order: Order;
  readonly from: ModelSidecar;
}

/** A status poll whose report is in transit to the sidecar. */
interface Poll {
  readonly from: ModelSidecar;
  readonly poll: number;
  readonly report: EngineReport;
}

/** A store call that has not been executed. */
interface StoreCall {
  readonly from: ModelSidecar;
  readonly run: () => FenceEvent;
}

/** A reply in transit to a sidecar. */
interface Reply {
  readonly from: ModelSidecar;
  readonly deliver: () => void;
}

/** An action that can happen next. Its probability is proportional to `weight`. */
interface WeightedAction {
  readonly weight: number;
  readonly name: string;
  readonly act: (choice: number) => void;
}

const TICK_MS: Ms = 1500;

/**
 * Duration of a suspension and of an engine restart. Both take longer than the send window: see
 * docs/design/memory.md, assumption 4.
 */
const PAUSE_MS: Ms = 2000;
const MAX_SIDECARS = 3;

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

function removeOne<Item>(items: Item[], choice: number): Item | undefined {
  if (items.length === 0) return undefined;
  return items.splice(choice % items.length, 1)[0];
}

/**
 * Simulates an engine, a store, up to three sidecars of the same upstream, and the network between them. `act`
 * performs one of the actions that can happen next, so a list of choices defines an interleaving.
 */
export class World {
  readonly engine: ModelEngine;

  /** The first violated invariant. */
  violation: string | undefined;

  /** Copies of load orders that the engine received. */
  loads = 0;

  private nowMs: Ms = 0;

  private readonly store = new ModelStore();

  private readonly sidecars: ModelSidecar[] = [];

  private startedCount = 0;

  private copies: OrderCopy[] = [];

  private readonly polls: Poll[] = [];

  private readonly calls: StoreCall[] = [];

  /** Calls that timed out at the sidecar and are still in transit to the store. */
  private readonly late: StoreCall[] = [];

  private readonly replies: Reply[] = [];

  /** Orders that a report has shown as settled to at least one sidecar. */
  private readonly reportedIds = new Set<string>();

  private published: EngineReport;

  private readonly actions: readonly WeightedAction[];

  constructor(private readonly options: WorldOptions) {
    this.engine = new ModelEngine(options.checksFencing);
    this.published = this.engine.report();
    this.actions = this.weightedActions();
    this.start();
    this.settle(0);
  }

  /** Performs the action that a choice encodes; the quotient of the number selects the action's target. */
  act(choice: number): void {
    const action = this.actions[choice % this.actions.length];
    action?.act(Math.floor(choice / this.actions.length));
    if (this.engine.isOvercommitted()) {
      this.violation ??= `overcommitted: ${this.engine.usedBytes()} bytes in use`;
    }
  }

  /** Returns the name of the action that a choice encodes. */
  nameOf(choice: number): string {
    return this.actions[choice % this.actions.length]?.name ?? '';
  }

  /** Returns all actions, each repeated according to its weight. */
  private weightedActions(): WeightedAction[] {
    const weights: readonly WeightedAction[] = [
      { weight: 4, name: 'settle', act: (choice) => this.settle(choice) },
      { weight: 5, name: 'flushStoreCalls', act: (choice) => this.flushStoreCalls(choice) },
      { weight: 4, name: 'sendNext', act: (choice) => this.sendNext(choice) },
      { weight: 4, name: 'executeCall', act: (choice) => this.executeCall(choice) },
      { weight: 2, name: 'loseCall', act: (choice) => this.loseCall(choice) },
      { weight: 1, name: 'executeLateCall', act: (choice) => this.executeLateCall(choice) },
      { weight: 4, name: 'receiveReply', act: (choice) => this.receiveReply(choice) },
      { weight: 5, name: 'deliver', act: (choice) => this.deliver(choice) },
      { weight: 2, name: 'duplicate', act: (choice) => this.duplicate(choice) },
      { weight: 2, name: 'loseOrder', act: (choice) => this.loseOrder(choice) },
      { weight: 2, name: 'timeOutOrder', act: (choice) => this.timeOutOrder(choice) },
      { weight: 4, name: 'finish', act: (choice) => this.engine.finish(choice) },
      { weight: 2, name: 'publish', act: () => this.publish() },
      { weight: 3, name: 'poll', act: (choice) => this.poll(choice) },
      { weight: 3, name: 'receiveReport', act: (choice) => this.receiveReport(choice) },
      { weight: 2, name: 'restart', act: () => this.restart() },
      { weight: 5, name: 'plan', act: (choice) => this.plan(choice) },
      { weight: 2, name: 'rescue', act: (choice) => this.rescue(choice) },
      { weight: 1, name: 'changeDocument', act: (choice) => this.changeDocument(choice) },
      { weight: 2, name: 'pin', act: (choice) => this.pin(choice) },
      { weight: 1, name: 'unpin', act: (choice) => this.unpin(choice) },
      { weight: 3, name: 'tick', act: (choice) => this.tick(choice) },
      { weight: 2, name: 'pause', act: (choice) => this.pause(choice) },
      { weight: 4, name: 'resume', act: (choice) => this.resume(choice) },
      { weight: 2, name: 'start', act: () => this.start() },
      { weight: 1, name: 'crash', act: (choice) => this.crash(choice) },
      { weight: 1, name: 'setStore-down', act: () => this.setStore(true) },
      { weight: 3, name: 'setStore-up', act: () => this.setStore(false) },
    ];
    return weights.flatMap((weighted) => Array.from({ length: weighted.weight }, () => weighted));
  }

  private runningSidecar(choice: number): ModelSidecar | undefined {
    const running = this.sidecars.filter(({ isPaused }) => !isPaused);
    return running[choice % Math.max(1, running.length)];
  }

  private start(): void {
    if (this.startedCount >= MAX_SIDECARS) return;
    this.startedCount += 1;
    const sidecar = new ModelSidecar(`owner-${this.startedCount}`, this.options);
    this.sidecars.push(sidecar);
    this.deliverDocument(sidecar, 0);
    sidecar.takeFenceEvent({ type: 'tick' }, this.nowMs);
  }

  /** Gives a sidecar the service document. An odd `choice` selects version 2 of model `c`. */
  private deliverDocument(sidecar: ModelSidecar, choice: number): void {
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
    const sidecar = this.runningSidecar(choice);
    if (sidecar) this.deliverDocument(sidecar, Math.floor(choice / MAX_SIDECARS));
  }

  /** Sends the next message of a sidecar's outbox. */
  private sendNext(choice: number): void {
    const sidecar = this.runningSidecar(choice);
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
    this.replies.push({ from, deliver: () => from.takeFenceEvent(event, this.nowMs) });
  }

  private executeCall(choice: number): void {
    const call = removeOne(this.calls, choice);
    if (call) this.reply(call.from, this.store.isDown ? DOWN : call.run());
  }

  /** Loses the answer to a call that has taken effect, is still in transit, or never takes effect. */
  private loseCall(choice: number): void {
    const call = removeOne(this.calls, choice);
    if (!call) return;
    if (choice % 3 === 0) call.run();
    if (choice % 3 === 1) this.late.push(call);
    this.reply(call.from, LOST);
  }

  /** Executes a call whose sidecar has stopped waiting for the answer. */
  private executeLateCall(choice: number): void {
    removeOne(this.late, choice)?.run();
  }

  private receiveReply(choice: number): void {
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
    const copy = removeOne(this.copies, choice);
    if (copy) this.deliverCopy(copy);
  }

  private deliverCopy({ order, from }: OrderCopy): void {
    this.checkPins(order, from);
    if (order.action.startsWith('load')) this.loads += 1;
    const outcome = this.engine.take(order);
    this.answer(from, { type: 'answered', orderId: order.orderId, outcome });
  }

  /** Checks that a sidecar's order does not unload or change anything that its own requests in flight use. */
  private checkPins(order: Order, from: ModelSidecar): void {
    if (order.action.startsWith('load') || !this.sidecars.includes(from)) return;
    const { pins, openOrders, role } = from.residency.ledger;
    const open = openOrders.get(order.orderId);
    const changesRole = order.role !== undefined && order.role !== role;
    if (open && changesRole && pins.size > 0) this.violation ??= 'role changed during a request';
    const key = open?.key;
    if (key && pins.has(key)) this.violation ??= `${key} unloaded while in use`;
  }

  private duplicate(choice: number): void {
    const copy = this.copies[choice % Math.max(1, this.copies.length)];
    if (copy) this.deliverCopy(copy);
  }

  private loseOrder(choice: number): void {
    const copy = removeOne(this.copies, choice);
    if (!copy) return;
    this.answer(copy.from, {
      type: 'answered',
      orderId: copy.order.orderId,
      outcome: 'unanswered',
    });
  }

  /** The sidecar stops waiting for the answer; the order is still in transit. */
  private timeOutOrder(choice: number): void {
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
    const sidecar = this.runningSidecar(choice);
    if (!sidecar) return;
    sidecar.polls += 1;
    this.polls.push({ from: sidecar, poll: sidecar.polls, report: this.published });
  }

  private receiveReport(choice: number): void {
    const poll = removeOne(this.polls, choice);
    if (!poll || poll.from.isPaused) return;
    for (const orderId of poll.report.settledOrderIds) this.reportedIds.add(orderId);
    poll.from.take({ type: 'report', poll: poll.poll, report: poll.report }, this.nowMs);
  }

  /**
   * Restarts the engine. Copies of orders that were reported as settled do not reach the new process: see
   * docs/design/memory.md, assumption 3.
   */
  private restart(): void {
    const isDiscarded = (order: Order) => this.reportedIds.has(order.orderId);
    this.copies = this.copies.filter(({ order }) => !isDiscarded(order));
    for (const { outbox } of this.sidecars) {
      const left = outbox.filter(
        (sending) => sending.type !== 'order' || !isDiscarded(sending.order),
      );
      outbox.splice(0, outbox.length, ...left);
    }
    this.engine.restart();
    this.nowMs += PAUSE_MS;
    this.publish();
  }

  private plan(choice: number): void {
    const sidecar = this.runningSidecar(choice);
    if (!sidecar) return;
    const selection = Math.floor(choice / MAX_SIDECARS);
    const names = [...MODELS.keys()].filter((_, bit) => Math.floor(selection / 2 ** bit) % 2 === 1);
    const adapters = Math.floor(selection / 8) % 2 === 1 ? ['x'] : [];
    const role = ROLES[Math.floor(selection / 16) % ROLES.length];
    const version = ['', '1', '2'][Math.floor(selection / 64) % 3] ?? '';
    const models = names.map((model) => ({ model, version, adapters, urgency: 0 }));
    // No model is protected from unloading, which maximizes the number of loads and unloads.
    const plan = { epoch: 1, sequence: 1, models, role, keepUntilPlaced: [] };
    sidecar.take({ type: 'plan', upstream: 'u', plan }, this.nowMs);
  }

  private rescue(choice: number): void {
    const names = [...MODELS.keys()];
    const model = names[Math.floor(choice / MAX_SIDECARS) % names.length] ?? '';
    const adapter = model === 'c' && choice % 2 === 0 ? 'x' : '';
    const replicas = names.filter((_, bit) => Math.floor(choice / 32 / 2 ** bit) % 2 === 1);
    this.runningSidecar(choice)?.take({ type: 'rescue', model, adapter, replicas }, this.nowMs);
  }

  private pin(choice: number): void {
    const model = [...MODELS.keys()][choice % MODELS.size] ?? '';
    this.runningSidecar(Math.floor(choice / 3))?.take(
      { type: 'pin', model, adapter: '' },
      this.nowMs,
    );
  }

  private unpin(choice: number): void {
    const sidecar = this.runningSidecar(choice);
    const keys = sidecar?.requests.shift();
    if (keys) sidecar?.take({ type: 'unpin', keys }, this.nowMs);
  }

  private tick(choice: number): void {
    this.nowMs += TICK_MS;
    const sidecar = this.runningSidecar(choice);
    sidecar?.takeFenceEvent({ type: 'tick' }, this.nowMs);
    sidecar?.take({ type: 'tick' }, this.nowMs);
  }

  private pause(choice: number): void {
    const sidecar = this.runningSidecar(choice);
    if (sidecar) sidecar.isPaused = true;
  }

  private resume(choice: number): void {
    const sidecar = this.sidecars[choice % Math.max(1, this.sidecars.length)];
    if (!sidecar?.isPaused) return;
    sidecar.isPaused = false;
    this.nowMs += PAUSE_MS;
  }

  /** Crashes a sidecar: messages in its outbox are lost, messages in transit are not. */
  private crash(choice: number): void {
    if (this.sidecars.length < 2) return;
    const sidecar = removeOne(this.sidecars, choice);
    if (!sidecar) return;
    sidecar.isPaused = true;
    sidecar.outbox.splice(0);
  }

  private setStore(isDown: boolean): void {
    this.store.isDown = isDown;
  }

  /** Sends a sidecar's messages and executes all store calls, without faults except that the store may be down. */
  private flushStoreCalls(choice: number): void {
    const sidecar = this.runningSidecar(choice);
    if (!sidecar) return;
    for (let round = 0; round < 4; round += 1) {
      while (sidecar.outbox.length > 0) this.sendNext(this.indexOf(sidecar));
      for (const call of this.calls.splice(0)) {
        this.reply(call.from, this.store.isDown ? DOWN : call.run());
      }
      this.receiveAllReplies(sidecar);
    }
  }

  private indexOf(sidecar: ModelSidecar): number {
    return this.sidecars.filter(({ isPaused }) => !isPaused).indexOf(sidecar);
  }

  private receiveAllReplies(sidecar: ModelSidecar): void {
    const own = this.replies.filter(({ from }) => from === sidecar);
    for (const reply of own) {
      this.replies.splice(this.replies.indexOf(reply), 1);
      reply.deliver();
    }
  }

  /** Completes a sidecar's store calls and orders without faults, then delivers the resulting report. */
  private settle(choice: number): void {
    const sidecar = this.runningSidecar(choice);
    if (!sidecar) return;
    this.flushStoreCalls(choice);
    const own = this.copies.filter(({ from }) => from === sidecar);
    this.copies = this.copies.filter(({ from }) => from !== sidecar);
    for (const copy of own) this.deliverCopy(copy);
    this.engine.finishAll();
    this.receiveAllReplies(sidecar);
    this.publish();
    this.poll(this.indexOf(sidecar));
    this.receiveReport(this.polls.length - 1);
  }
}
