import { createMachine, transition, type MachineConfig } from 'xstate';

/** A state chart without context or actions, as in its JSON file. */
interface Chart {
  readonly id: string;
  readonly initial: string;
  readonly states: object;
}

/**
 * Returns the transition function of a chart. An event that a state does not handle leaves the state
 * unchanged. Charts have no context, so the result of each (state, event) is computed by xstate once and cached.
 */
export function chartTransition<State extends string, Event extends string>(
  chart: Chart,
): (state: State, event: Event) => State {
  const machine = createMachine(chart as MachineConfig<object, { type: string }>);
  const known = new Map<string, State>();
  return (state, event) => {
    const key = `${state} ${event}`;
    const remembered = known.get(key);
    if (remembered !== undefined) return remembered;
    const [next] = transition(machine, machine.resolveState({ value: state }), { type: event });
    known.set(key, next.value as State);
    return next.value as State;
  };
}
