import { createHash } from 'node:crypto';
import type { Customer, ServiceDocument } from '../core/document/index.js';

/** A customer of one service, known by its key. */
interface Access {
  readonly document: ServiceDocument;
  readonly customer: Customer;
}

/** Every service that a bearer key opens. */
export function authenticate(
  authorization: string | undefined,
  documents: readonly ServiceDocument[],
): readonly Access[] {
  const key = /^Bearer (.+)$/.exec(authorization ?? '')?.[1];
  if (!key) return [];
  const hash = createHash('sha256').update(key).digest('hex');
  const found: Access[] = [];
  for (const document of documents) {
    const customer = document.customers.find(({ keyHashes }) => keyHashes.includes(hash));
    if (customer) found.push({ document, customer });
  }
  return found;
}
