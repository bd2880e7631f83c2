/** What moves an order from phase to phase. */
export type OrderEvent = 'sent' | 'accepted' | 'unanswered' | 'restarted' | 'settled' | 'withdrawn';
