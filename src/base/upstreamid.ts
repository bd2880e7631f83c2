import type { Brand } from './brand.js';

/** Identifies an upstream: one model engine or one plain service. */
export type UpstreamId = Brand<string, 'UpstreamId'>;
