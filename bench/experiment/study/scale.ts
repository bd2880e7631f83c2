/** Size of a study. */
export interface Scale {
  readonly seeds: readonly number[];
  readonly durationMs: number;
  readonly loads: readonly number[];
}
