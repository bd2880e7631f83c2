import type { Ms } from '../../src/base/index.js';
import {
  emptyFence,
  stepFence,
  type FenceEffect,
  type FenceEvent,
  type FenceRules,
} from '../../src/core/fence/index.js';
import type { HoldingKey } from '../../src/core/ledger/index.js';
import {
  emptyResidency,
  stepResidency,
  type ResidencyEffect,
  type ResidencyEvent,
  type ResidencyRules,
} from '../../src/core/residency/index.js';
import type { Order } from '../../src/port/index.js';

/** A message that a sidecar has decided to send but has not sent; the process may be suspended before it does. */
type Sending =
  | { readonly type: 'order'; readonly order: Order }
  | Extract<FenceEffect, { type: 'read-key' | 'swap-key' }>;

/** Safety guards used by a run. */
interface Rules {
  readonly fence: FenceRules;
  readonly residency: ResidencyRules;
}

/** A sidecar process driven step by step. It runs the daemon's fence and residency cores, connected as there. */
export class ModelSidecar {
  isPaused = false;

  /** Number of status polls sent to the engine. */
  polls = 0;

  readonly outbox: Sending[] = [];

  /** Pinned holdings of each request in flight. */
  readonly requests: (readonly HoldingKey[])[] = [];

  residency = emptyResidency('u');

  private fence: ReturnType<typeof emptyFence>;

  constructor(
    owner: string,
    private readonly rules: Rules,
  ) {
    this.fence = emptyFence(owner);
  }

  /** Applies an event to the fence core and carries out the effects. */
  takeFenceEvent(event: FenceEvent, nowMs: Ms): void {
    const { state, effects } = stepFence(this.fence, event, nowMs, this.rules.fence);
    this.fence = state;
    for (const effect of effects) {
      if (effect.type === 'read-key' || effect.type === 'swap-key') this.outbox.push(effect);
      else if (effect.type === 'store-failing') this.take({ type: 'store-failing' }, nowMs);
      else if (effect.type === 'superseded') this.take({ type: 'superseded' }, nowMs);
      else if (effect.type === 'taken') this.take({ ...effect, poll: this.polls }, nowMs);
      else this.take(effect, nowMs);
    }
  }

  /** Applies an event to the residency core and carries out the effects. */
  take(event: ResidencyEvent, nowMs: Ms): readonly ResidencyEffect[] {
    const change = stepResidency(this.residency, event, nowMs, this.rules.residency);
    this.residency = change.state;
    for (const effect of change.effects) {
      if (effect.type === 'order') this.outbox.push(effect);
      else if (effect.type === 'pinned') this.requests.push(effect.keys);
      else if (effect.type === 'intents') {
        this.takeFenceEvent({ type: 'wanted', intents: effect.intents }, nowMs);
      }
    }
    return change.effects;
  }
}
