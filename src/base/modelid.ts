import type { Brand } from './brand.js';

/** Identifies a model, as callers name it in a request. */
export type ModelId = Brand<string, 'ModelId'>;
