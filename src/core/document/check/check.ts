import type { CheckContext } from '../checkcontext.js';
import type { ServiceDocument } from '../servicedocument.js';
import type { Finding } from './finding.js';

/** One check of a document that conforms to the schema. */
export type Check = (document: ServiceDocument, context: CheckContext) => readonly Finding[];
