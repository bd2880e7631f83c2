import type { Brand } from '../../base/index.js';

/** Key of a model version or adapter in memory: `model@version` or `model@version+adapter`. */
export type HoldingKey = Brand<string, 'HoldingKey'>;
