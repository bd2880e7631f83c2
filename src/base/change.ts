/** What one event does to a core: its next state, and the effects that the shell has to carry out. */
export interface Change<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}
