import { createMachine, transition } from 'xstate';
import chart from './ticket.chart.json' with { type: 'json' };
import type { Phase } from './phase.js';

const machine = createMachine(chart as never);

/** Answers of the chart by `phase EVENT`: it is small and constant, so each is worked out once. */
const known = new Map<string, Phase | undefined>();

function interpret(phase: Phase, event: string): Phase | undefined {
  if (!Object.hasOwn(chart.states, phase)) return undefined;
  const snapshot = machine.resolveState({ value: phase });
  const [next] = transition(machine, snapshot, { type: event });
  return next.value === phase ? undefined : (next.value as Phase);
}

/** The phase that an event leads to, or undefined where the chart has no such step. */
export function nextPhase(
  phase: Phase,
  event: 'BEGIN' | 'RETURN' | 'ANSWER' | 'BREAK' | 'CANCEL' | 'EXPIRE',
): Phase | undefined {
  const key = `${phase} ${event}`;
  if (!known.has(key)) known.set(key, interpret(phase, event));
  return known.get(key);
}
