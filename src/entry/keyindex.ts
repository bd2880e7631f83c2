import { bearerHash } from '../shell/hash/index.js';
import type { ServiceDocument } from '../core/document/index.js';
import type { Access } from './access.js';

function indexOf(documents: readonly ServiceDocument[]): Map<string, Access[]> {
  const index = new Map<string, Access[]>();
  for (const document of documents) {
    for (const customer of document.customers) {
      for (const hash of customer.keyHashes) {
        const accesses = index.get(hash) ?? [];
        accesses.push({ document, customer });
        index.set(hash, accesses);
      }
    }
  }
  return index;
}

/** Index of customers by the hash of their bearer key. Rebuilt when the documents change. */
export class KeyIndex {
  private documents: readonly ServiceDocument[] = [];

  private index = new Map<string, Access[]>();

  /** Returns every service and customer that the key of an `Authorization` header belongs to. */
  find(
    authorization: string | undefined,
    documents: readonly ServiceDocument[],
  ): readonly Access[] {
    const hash = bearerHash(authorization);
    if (hash === undefined) return [];
    if (documents !== this.documents) {
      this.documents = documents;
      this.index = indexOf(documents);
    }
    return this.index.get(hash) ?? [];
  }
}
