import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import {
  stepAcceptance,
  type AcceptanceEffect,
  type AcceptanceEvent,
  type AcceptanceFailure,
  type AcceptanceState,
  type Accepted,
} from '../../core/acceptance/index.js';
import type { AcceptanceContext } from './acceptancecontext.js';

type EffectHandler<Type extends AcceptanceEffect['type']> = (
  effect: Extract<AcceptanceEffect, { type: Type }>,
  context: AcceptanceContext,
) => Promise<AcceptanceEvent | undefined>;

const read: EffectHandler<'read'> = async ({ key }, { store }) => {
  const got = await store.get(key);
  if (got.err) return { type: 'failed', failure: got.val };
  return { type: 'read', item: got.val };
};

const swap: EffectHandler<'swap'> = async (effect, { store }) => {
  const swapped = await store.swap(effect.swap);
  return swapped.err ? { type: 'failed', failure: swapped.val } : swapped.val;
};

const wait: EffectHandler<'wait'> = ({ delayMs }, { clock }) =>
  new Promise((resolve) => {
    clock.after(delayMs, () => resolve({ type: 'waited' }));
  });

const log: EffectHandler<'log'> = ({ entries }, context) => {
  context.log(entries);
  return Promise.resolve(undefined);
};

const EFFECT_HANDLERS: {
  readonly [
    Type in Exclude<AcceptanceEffect['type'], 'accepted' | 'rejected'>
  ]: EffectHandler<Type>;
} = {
  read,
  swap,
  wait,
  log,
};

/** Runs one change through the core, executes its effects and returns the outcome. */
export async function acceptChange(
  start: AcceptanceState,
  context: AcceptanceContext,
): Promise<Result<Accepted, AcceptanceFailure>> {
  const { step = stepAcceptance, clock } = context;
  let state = start;
  let event: AcceptanceEvent = { type: 'start' };
  for (;;) {
    const next = step(state, event, clock.nowMs());
    state = next.state;
    for (const effect of next.effects) {
      if (effect.type === 'accepted') return result.Ok(effect.accepted);
      if (effect.type === 'rejected') return result.Err(effect.failure);
      const act = EFFECT_HANDLERS[effect.type] as EffectHandler<AcceptanceEffect['type']>;
      event = (await act(effect, context)) ?? event;
    }
  }
}
