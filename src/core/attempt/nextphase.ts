import { createMachine, transition } from 'xstate';
import chart from './attempt.chart.json' with { type: 'json' };

const machine = createMachine(chart as Parameters<typeof createMachine>[0]);

/** The phase that the chart gives, or undefined if it has no such step. */
export function nextPhase(phase: string, type: string): string | undefined {
  const snapshot = machine.resolveState({ value: phase });
  if (snapshot.status !== 'active' || !snapshot.can({ type })) return undefined;
  const [next] = transition(machine, snapshot, { type });
  return String(next.value);
}
