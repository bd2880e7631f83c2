import type { Brand } from './brand.js';

/** Identifies a part of a prompt, such as a system prompt or a document. Requests share parts. */
export type PromptPartId = Brand<string, 'PromptPartId'>;
