/**
 * Bound on a configuration, and on the record of a service document. A configuration of 1,200 models and 5,000 customers
 * has 2.0 MB, the record of a document of 1,200 models and 12,000 upstreams 1.6 MB.
 */
export const maxDocumentLength = 4_194_304;
