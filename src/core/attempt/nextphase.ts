import { createMachine, transition } from 'xstate';
import chart from './attempt.chart.json' with { type: 'json' };

const machine = createMachine(chart as Parameters<typeof createMachine>[0]);

/** Cache of transitions by phase and event, because the chart is evaluated several times for each request. */
const transitions = new Map<string, string | undefined>();

function ask(phase: string, type: string): string | undefined {
  const snapshot = machine.resolveState({ value: phase });
  if (snapshot.status !== 'active' || !snapshot.can({ type })) return undefined;
  const [next] = transition(machine, snapshot, { type });
  return String(next.value);
}

/** Returns the phase after an event of the state chart; undefined if the chart has no such transition. */
export function nextPhase(phase: string, type: string): string | undefined {
  const key = `${phase} ${type}`;
  if (!transitions.has(key)) transitions.set(key, ask(phase, type));
  return transitions.get(key);
}
