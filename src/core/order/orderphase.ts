/**
 * `intended`: in the ledger, not sent yet. `sent`: sent, no reply yet. `confirmed`: accepted by the engine.
 * `unknown`: it may have been lost or may still arrive. `resolved`: it can have no further effect.
 */
export type OrderPhase = 'intended' | 'sent' | 'confirmed' | 'unknown' | 'resolved';
