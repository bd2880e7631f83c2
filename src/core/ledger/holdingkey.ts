import type { Brand } from '../../base/index.js';

/** Names what takes memory: `model@version`, or `model@version+adapter`. */
export type HoldingKey = Brand<string, 'HoldingKey'>;
