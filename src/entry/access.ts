import type { Customer, ServiceDocument } from '../core/document/index.js';

/** A customer of one service, identified by its key. */
export interface Access {
  readonly document: ServiceDocument;
  readonly customer: Customer;
}
