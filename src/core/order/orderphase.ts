/**
 * `intended`: entered in the ledger, has not left. `sent`: under way. `confirmed`: the engine has taken
 * it. `unknown`: it may have been lost, or may arrive late. `resolved`: it can change nothing any more.
 */
export type OrderPhase = 'intended' | 'sent' | 'confirmed' | 'unknown' | 'resolved';
