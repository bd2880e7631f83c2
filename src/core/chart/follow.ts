import { createMachine, transition, type MachineConfig } from 'xstate';

/** A chart without context or actions, as its JSON file gives it. */
interface Chart {
  readonly id: string;
  readonly initial: string;
  readonly states: object;
}

/**
 * Makes the transition function of a chart. An event that a state does not know leaves it as it is. The
 * charts have no context, so each (state, event) is worked out by xstate once and remembered.
 */
export function follow<State extends string, Event extends string>(
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
