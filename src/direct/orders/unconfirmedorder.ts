import type { ModelId } from '../../base/index.js';

/** An order without an answer: it may have been accepted, or may still be carried out later. */
export interface UnconfirmedOrder {
  readonly action: 'load' | 'unload';
  readonly model: ModelId;
  readonly adapter?: string;
  readonly expectedOrderCount: number;
}
