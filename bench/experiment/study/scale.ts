/** How large a study is. */
export interface Scale {
  readonly seeds: readonly number[];
  readonly durationMs: number;
  readonly loads: readonly number[];
}
