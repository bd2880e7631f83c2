import type { Brand } from './brand.js';

/** An adapter (for example LoRA weights) on top of a model. */
export type AdapterId = Brand<string, 'AdapterId'>;
