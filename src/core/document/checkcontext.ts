import type { ServiceDocument } from './servicedocument.js';

/** What a document is checked against besides itself. */
export interface CheckContext {
  /** Name of the file, for messages. */
  readonly file: string;
  /** The document in force, if there is one. */
  readonly previous?: ServiceDocument;
  /** Owner of the service's documents in other regions: the name is one team's everywhere. */
  readonly ownerElsewhere?: string;
  /** Team of the operator; when given, the document has to be this team's. */
  readonly team?: string;
}
