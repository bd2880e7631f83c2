/** A source of tokens that speaks as so many sidecars. */
export interface SourceOptions {
  readonly peers: number;
  /** Time between two tokens of one stream. */
  readonly intervalMs: number;
  /** Tokens of each stream. */
  readonly tokens: number;
}
