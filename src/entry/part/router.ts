import type { Result } from 'ts-results';
import type { Refusal } from '../../wire/index.js';
import type { Choice } from './choice.js';
import type { Outcome } from './outcome.js';
import type { Want } from './want.js';

/** Chooses upstreams for requests. */
export interface Router {
  /** Resolves at once, or when a model that is being loaded is ready, within the deadline. */
  choose(want: Want): Promise<Result<Choice, Refusal>>;
  learn(outcome: Outcome): void;
  /** Stops listening to the board; requests that wait are settled by their deadlines. */
  close(): void;
}
