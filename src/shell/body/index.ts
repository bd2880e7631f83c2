/** Reads bodies up to a bound, since a peer may send bytes without end. */
export { BodyBuffer } from '../../core/bodybuffer/index.js';
export { maxAnswerBytes } from './maxanswerbytes.js';
export { readText } from './readtext.js';
export { readWithin } from './readwithin.js';
