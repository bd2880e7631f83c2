import type { Loan } from './loan.js';

/** Returns how many connections a loan keeps from other entries. */
export function reservedConnections({ grants, openCount }: Loan): number {
  return Math.max(openCount, ...grants.map(({ count }) => count));
}
