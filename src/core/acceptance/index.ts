/** Acceptance of a document change: validation, one compare-and-swap, and a reliable outcome. */
export type { AcceptanceEffect } from './acceptanceeffect.js';
export type { AcceptanceEvent } from './acceptanceevent.js';
export type { AcceptanceFailure } from './acceptancefailure.js';
export type { AcceptanceState } from './acceptancestate.js';
export type { Accepted } from './accepted.js';
export type { Change } from './change.js';
export { createAcceptance } from './createacceptance.js';
export { decodeStored } from './decodestored.js';
export { restoreText } from './restoretext.js';
export { rejections } from './rejections.js';
export { serviceKey } from './servicekey.js';
export { stepAcceptance } from './stepacceptance.js';
export type { StoredService } from './storedservice.js';
