import { createMachine, transition } from 'xstate';
import chart from './attempt.chart.json' with { type: 'json' };

const machine = createMachine(chart as Parameters<typeof createMachine>[0]);

/** The chart's answers, by phase and step: it is asked several times for each request. */
const answers = new Map<string, string | undefined>();

function ask(phase: string, type: string): string | undefined {
  const snapshot = machine.resolveState({ value: phase });
  if (snapshot.status !== 'active' || !snapshot.can({ type })) return undefined;
  const [next] = transition(machine, snapshot, { type });
  return String(next.value);
}

/** The phase that the chart gives, or undefined if it has no such step. */
export function nextPhase(phase: string, type: string): string | undefined {
  const key = `${phase} ${type}`;
  if (!answers.has(key)) answers.set(key, ask(phase, type));
  return answers.get(key);
}
