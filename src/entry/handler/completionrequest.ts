/** The fields of a completion request that an entry reads; the body is forwarded to the engine unchanged. */
export interface CompletionRequest {
  readonly model: string;
  readonly stream?: boolean | null;
  readonly messages?: readonly { readonly content?: unknown }[];
  readonly prompt?: unknown;
  readonly max_tokens?: number;
  readonly max_completion_tokens?: number;
}
