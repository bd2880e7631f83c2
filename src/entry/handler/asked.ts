/** What an entry reads of a completion request; the rest goes to the engine as it is. */
export interface Asked {
  readonly model: string;
  readonly stream?: boolean | null;
  readonly messages?: readonly { readonly content?: unknown }[];
  readonly prompt?: unknown;
  readonly max_tokens?: number;
  readonly max_completion_tokens?: number;
}
