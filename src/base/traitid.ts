import type { Brand } from './brand.js';

/**
 * Identifies a property of requests that may be the cause of crashes: the content of a request, the same for equal
 * requests whoever sends them and when, or a part of a prompt that different requests share.
 */
export type TraitId = Brand<string, 'TraitId'>;
