/** Checks of the form of values that come from outside the process. */
export type { Check } from './check.js';
export { isDeep } from './isdeep.js';
export { parseJson } from './parsejson.js';
export { maxDocumentLength } from './maxdocumentlength.js';
export { maxRecordLength } from './maxrecordlength.js';
export { shape } from './shape.js';
