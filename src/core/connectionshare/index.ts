/** Divides the connections that an upstream accepts: an even part for each entry, and loans for those that need more. */
export { baseConnections } from './baseconnections.js';
export { connectionRules } from './connectionrules.js';
export { renewLoan } from './renewloan.js';
export { reservedConnections } from './reservedconnections.js';
export type { Loan } from './loan.js';
