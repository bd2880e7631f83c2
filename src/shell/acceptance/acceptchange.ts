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
import type { AcceptanceTools } from './acceptancetools.js';

type Act<Type extends AcceptanceEffect['type']> = (
  effect: Extract<AcceptanceEffect, { type: Type }>,
  tools: AcceptanceTools,
) => Promise<AcceptanceEvent | undefined>;

const read: Act<'read'> = async ({ key }, { store }) => {
  const got = await store.get(key);
  if (got.err) return { type: 'failed', failure: got.val };
  return { type: 'read', item: got.val };
};

const swap: Act<'swap'> = async (effect, { store }) => {
  const swapped = await store.swap(effect.swap);
  return swapped.err ? { type: 'failed', failure: swapped.val } : swapped.val;
};

const wait: Act<'wait'> = ({ delayMs }, { clock }) =>
  new Promise((resolve) => {
    clock.after(delayMs, () => resolve({ type: 'waited' }));
  });

const log: Act<'log'> = ({ entries }, tools) => {
  tools.log(entries);
  return Promise.resolve(undefined);
};

const ACTS: {
  readonly [Type in Exclude<AcceptanceEffect['type'], 'accepted' | 'rejected'>]: Act<Type>;
} = {
  read,
  swap,
  wait,
  log,
};

/** Carries one change through the core and gives its outcome. */
export async function acceptChange(
  start: AcceptanceState,
  tools: AcceptanceTools,
): Promise<Result<Accepted, AcceptanceFailure>> {
  const { step = stepAcceptance, clock } = tools;
  let state = start;
  let event: AcceptanceEvent = { type: 'start' };
  for (;;) {
    const next = step(state, event, clock.nowMs());
    state = next.state;
    for (const effect of next.effects) {
      if (effect.type === 'accepted') return result.Ok(effect.accepted);
      if (effect.type === 'rejected') return result.Err(effect.failure);
      const act = ACTS[effect.type] as Act<AcceptanceEffect['type']>;
      event = (await act(effect, tools)) ?? event;
    }
  }
}
