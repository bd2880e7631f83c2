/** The memory of an upstream's accelerators: what is resident, what is reserved, what is in use. */
export { changePins } from './changepins.js';
export { committedBytes } from './committedbytes.js';
export { emptyLedger } from './emptyledger.js';
export { enterOrder } from './enterorder.js';
export { fits } from './fits.js';
export { freeBytes } from './freebytes.js';
export type { Holding } from './holding.js';
export type { HoldingKey } from './holdingkey.js';
export { inheritOrder } from './inheritorder.js';
export { keyOfOrder } from './keyoforder.js';
export type { Ledger } from './ledger.js';
export type { LedgerRules } from './ledgerrules.js';
export { ledgerRulesInForce } from './ledgerrulesinforce.js';
export { nameHolding } from './nameholding.js';
export type { OpenOrder } from './openorder.js';
export { roomBytes } from './roombytes.js';
export { takeReport } from './takereport.js';
