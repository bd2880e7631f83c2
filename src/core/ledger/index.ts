/** Accounting of an upstream's accelerator memory: resident holdings, reservations of orders, and pins. */
export { changePins } from './changepins.js';
export { committedBytes } from './committedbytes.js';
export { emptyLedger } from './emptyledger.js';
export { addOrder } from './addorder.js';
export { fits } from './fits.js';
export { freeBytes } from './freebytes.js';
export type { Holding } from './holding.js';
export type { HoldingKey } from './holdingkey.js';
export { inheritOrder } from './inheritorder.js';
export { keyOfOrder } from './keyoforder.js';
export type { Ledger } from './ledger.js';
export type { LedgerRules } from './ledgerrules.js';
export { defaultLedgerRules } from './defaultledgerrules.js';
export { holdingKeyOf } from './holdingkeyof.js';
export type { OpenOrder } from './openorder.js';
export { usableBytes } from './usablebytes.js';
export { applyReport } from './applyreport.js';
