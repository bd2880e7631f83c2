/** Bound on a configuration. One of 1,200 models and 5,000 customers has 2.0 MB. */
export const maxDocumentLength = 4_194_304;
