/** Result of one event in a decision core: the next state and the effects that the shell has to perform. */
export interface Transition<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}
