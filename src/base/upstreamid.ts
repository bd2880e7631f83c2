import type { Brand } from './brand.js';

/** An upstream: one engine or plain service behind one sidecar. */
export type UpstreamId = Brand<string, 'UpstreamId'>;
