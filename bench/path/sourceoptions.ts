/** Options of the token source, which acts as several sidecars. */
export interface SourceOptions {
  /** Number of sidecars that it acts as. */
  readonly peers: number;
  /** Time between two tokens of a stream. */
  readonly intervalMs: number;
  /** Tokens of each stream. */
  readonly tokens: number;
}
