/** The fields used of an OpenAI-compatible streaming chunk. */
export interface Chunk {
  readonly id?: string;
  readonly created?: number;
  readonly system_fingerprint?: string;
  readonly usage?: object | null;
  readonly choices?: readonly {
    readonly text?: string;
    readonly delta?: {
      readonly role?: string;
      readonly content?: string | null;
      readonly tool_calls?: unknown;
    };
    readonly finish_reason?: string | null;
  }[];
}
