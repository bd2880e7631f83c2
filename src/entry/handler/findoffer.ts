import type { AdapterId } from '../../base/index.js';
import type { Model } from '../../core/document/index.js';
import type { Access } from '../access.js';

/** A model, or an adapter on top of it, that a customer may use. */
interface Offer {
  readonly access: Access;
  readonly model: Model;
  readonly adapter?: AdapterId;
}

function offerOf(access: Access, name: string): Offer | undefined {
  const { models, adapters = [] } = access.document;
  const own = models.find(({ id }) => id === name);
  if (own) return { access, model: own };
  const adapter = adapters.find(({ id }) => id === name);
  const model = models.find(({ id }) => id === adapter?.model);
  return adapter && model && { access, model, adapter: adapter.id };
}

/** Finds a model or an adapter by name in the services of a caller. */
export function findOffer(accesses: readonly Access[], name: string): Offer | undefined {
  for (const access of accesses) {
    const offer = offerOf(access, name);
    if (offer) return offer;
  }
  return undefined;
}
