/** The fields of an OpenAI-compatible generation request that the stand-in engine reads. */
export interface GenerationRequest {
  readonly model: string;
  readonly stream?: boolean;
  readonly max_tokens?: number;
  readonly max_completion_tokens?: number;
  readonly messages?: readonly { readonly role?: string; readonly content: string }[];
  readonly prompt?: string;
  /** True if the last message is a partial answer that is to be continued. */
  readonly continue_final_message?: boolean;
}
