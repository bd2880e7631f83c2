import type { ServiceDocument } from './servicedocument.js';

/** Context that a document is checked against. */
export interface CheckContext {
  /** Name of the file, for messages. */
  readonly file: string;
  /** The document in force, if there is one. */
  readonly previous?: ServiceDocument;
  /** Owner of the service's documents in other regions; a service has one owner in all regions. */
  readonly ownerElsewhere?: string;
  /** Team of the operator; if given, it must own the document. */
  readonly team?: string;
}
