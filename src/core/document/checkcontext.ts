import type { ServiceDocument } from './servicedocument.js';

/** What a document is checked against besides itself. */
export interface CheckContext {
  /** Name of the file, for messages. */
  readonly file: string;
  /** The document in force, if there is one. */
  readonly previous?: ServiceDocument;
  /** Team of the operator; when given, the document has to be this team's. */
  readonly team?: string;
}
