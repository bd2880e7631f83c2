import { nanoid } from 'nanoid';
import type { Clock, Incarnation, Ms } from '../../base/index.js';
import {
  emptyFence,
  stepFence,
  type FenceEffect,
  type FenceEvent,
  type Intent,
} from '../../core/fence/index.js';
import type { KeyValueStore, Log } from '../../port/index.js';
import type { FenceListener, IncarnationHolder, IntentLog } from '../part/index.js';

const PREFIX = '/tarragonstile/upstreams/';
const TICK_MS: Ms = 250;

type Act<Type extends FenceEffect['type']> = (effect: Extract<FenceEffect, { type: Type }>) => void;

/** Ports that `UpstreamKey` uses. */
interface Ports {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly log: Log;
}

/** Shell of the fence core: reads and swaps the key of one upstream in the store. */
export class UpstreamKey implements IncarnationHolder, IntentLog {
  private state = emptyFence(nanoid());

  private readonly listeners = new Set<FenceListener>();

  private readonly key: string;

  private cancelTick: (() => void) | undefined;

  private readonly actions: { readonly [Type in FenceEffect['type']]: Act<Type> } = {
    'read-key': () => {
      void this.read();
    },
    'swap-key': (effect) => {
      void this.swap(effect);
    },
    taken: (effect) => {
      this.ports.log.info('incarnation taken', { ...effect, inherited: effect.inherited.length });
      this.notify(effect);
    },
    recorded: (effect) => this.notify(effect),
    superseded: (effect) => {
      this.ports.log.warn('incarnation superseded: another sidecar has taken this upstream', {
        ...effect,
      });
      this.notify(effect);
    },
    'store-failing': (effect) => {
      this.ports.log.warn('upstream key not read or written: store failing, will retry', {
        ...effect.failure,
      });
      this.notify(effect);
    },
  };

  constructor(
    upstream: string,
    private readonly ports: Ports,
  ) {
    this.key = `${PREFIX}${upstream}`;
  }

  current(): Incarnation {
    return this.state.incarnation;
  }

  isHeld(): boolean {
    return this.state.phase === 'held';
  }

  listen(listener: FenceListener): void {
    this.listeners.add(listener);
  }

  /** Starts taking the incarnation; repeats every `TICK_MS`. */
  start(): void {
    this.take({ type: 'tick' });
    this.cancelTick = this.ports.clock.after(TICK_MS, () => this.start());
  }

  stop(): void {
    this.cancelTick?.();
  }

  setIntents(intents: readonly Intent[]): void {
    this.take({ type: 'wanted', intents });
  }

  private take(event: FenceEvent): void {
    const change = stepFence(this.state, event, this.ports.clock.nowMs());
    this.state = change.state;
    for (const effect of change.effects) {
      const act = this.actions[effect.type] as Act<FenceEffect['type']>;
      act(effect);
    }
  }

  private notify(effect: Parameters<FenceListener>[0]): void {
    for (const listener of this.listeners) listener(effect);
  }

  private async read(): Promise<void> {
    const answer = await this.ports.store.get(this.key);
    if (answer.err) this.take({ type: 'store-failed', failure: answer.val });
    else this.take({ type: 'read', item: answer.val });
  }

  private async swap({
    expectedRevision,
    value,
  }: Extract<FenceEffect, { type: 'swap-key' }>): Promise<void> {
    const answer = await this.ports.store.swap({ key: this.key, expectedRevision, value });
    if (answer.err) this.take({ type: 'store-failed', failure: answer.val });
    else this.take({ type: 'swapped', outcome: answer.val });
  }
}
