/** The body of an OpenAI-compatible generation, as far as the stand-in engine reads it. */
export interface Ask {
  readonly model: string;
  readonly stream?: boolean;
  readonly max_tokens?: number;
  readonly max_completion_tokens?: number;
  readonly messages?: readonly { readonly role?: string; readonly content: string }[];
  readonly prompt?: string;
  /** The last message is an answer that was begun and goes on. */
  readonly continue_final_message?: boolean;
}
