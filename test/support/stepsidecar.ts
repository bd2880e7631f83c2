import type { Transition, Ms } from '../../src/base/index.js';
import {
  emptyFence,
  stepFence,
  type FenceEffect,
  type FenceEvent,
} from '../../src/core/fence/index.js';
import {
  emptyResidency,
  stepResidency,
  type ResidencyEffect,
  type ResidencyEvent,
} from '../../src/core/residency/index.js';

/** The fence and residency cores of a sidecar, combined as in the daemon. */
export interface SidecarState {
  readonly fence: ReturnType<typeof emptyFence>;
  readonly memory: ReturnType<typeof emptyResidency>;
  readonly polls: number;
}

export type SidecarEvent =
  { readonly store: FenceEvent } | { readonly memory: ResidencyEvent } | { readonly type: 'tick' };

export type SidecarEffect =
  | Extract<FenceEffect, { type: 'read-key' | 'swap-key' }>
  | Exclude<ResidencyEffect, { type: 'intents' }>;

type Changed = Transition<SidecarState, SidecarEffect>;

export const newSidecar = (owner: string): SidecarState => ({
  fence: emptyFence(owner),
  memory: emptyResidency('u'),
  polls: 0,
});

/** Translates a fence effect into a residency event; undefined for store calls. */
function memoryEvent(effect: FenceEffect, polls: number): ResidencyEvent | undefined {
  if (effect.type === 'read-key' || effect.type === 'swap-key') return undefined;
  if (effect.type === 'taken') return { ...effect, poll: polls };
  return effect.type === 'recorded' ? effect : { type: effect.type };
}

/** Steps both cores with one event, for golden sessions. */
export function stepSidecar(start: SidecarState, event: SidecarEvent, nowMs: Ms): Changed {
  const effects: SidecarEffect[] = [];
  let { fence, memory, polls } = start;
  const first = 'type' in event ? [{ store: event }, { memory: event }] : [event];
  const events: Exclude<SidecarEvent, { type: 'tick' }>[] = [...first];
  for (let next = events.shift(); next; next = events.shift()) {
    if ('store' in next) {
      const change = stepFence(fence, next.store, nowMs);
      fence = change.state;
      for (const effect of change.effects) {
        const heard = memoryEvent(effect, polls);
        if (heard) events.push({ memory: heard });
        else effects.push(effect as SidecarEffect);
      }
    } else {
      const change = stepResidency(memory, next.memory, nowMs);
      memory = change.state;
      if (next.memory.type === 'report') polls = Math.max(polls, next.memory.poll);
      for (const effect of change.effects) {
        if (effect.type !== 'intents') effects.push(effect);
        else events.push({ store: { type: 'wanted', intents: effect.intents } });
      }
    }
  }
  return { state: { fence, memory, polls }, effects };
}
