import { ModelEngine } from '../../bench/ledgercheck/modelengine.js';
import { result } from '../../src/base/index.js';
import type { Engine, EngineFailure, Order } from '../../src/port/index.js';

const UNSUPPORTED: EngineFailure = {
  type: 'upstream-unsupported',
  detail: 'This engine supports only orders and reports.',
  executed: 'no',
};

const unsupported = () => Promise.resolve(result.Err(UNSUPPORTED));

/** The model checker's engine as an `Engine`: orders complete at once, and reports do not lag. */
export class ModelEnginePort implements Engine {
  readonly model: ModelEngine;

  readonly orders: Order[] = [];

  generate = unsupported;

  resume = unsupported;

  cancel = unsupported;

  cacheEvents = unsupported;

  exportCache = unsupported;

  importCache = unsupported;

  constructor(checksFencing: boolean) {
    this.model = new ModelEngine(checksFencing);
  }

  order(order: Order): ReturnType<Engine['order']> {
    this.orders.push(order);
    const outcome = this.model.take(order);
    this.model.finishAll();
    if (outcome === 'accepted') return Promise.resolve(result.Ok(undefined));
    const detail = 'The engine has seen a higher fencing token.';
    return Promise.resolve(result.Err({ type: 'upstream-fenced', detail, executed: 'no' }));
  }

  report(): ReturnType<Engine['report']> {
    return Promise.resolve(result.Ok(this.model.report()));
  }
}
