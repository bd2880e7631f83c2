import { Executed, type Refusal } from '../../wire/index.js';

/** Options of a refusal. */
interface RefuseOptions {
  /** Defaults to `no`: the request was not run and will not be. */
  readonly executed?: Executed;
  /** Retry-after time; 0, the default, means unknown. */
  readonly retryAfterMs?: number;
  readonly candidates?: readonly string[];
}

/** Builds a refusal. */
export function refuse(type: string, detail: string, options: RefuseOptions = {}): Refusal {
  return {
    type,
    detail,
    executed: options.executed ?? Executed.EXECUTED_NO,
    retryAfterMs: Math.ceil(options.retryAfterMs ?? 0),
    candidates: options.candidates ?? [],
    load: undefined,
  };
}
