/** An event that can change the phase of an order. */
export type OrderEvent = 'sent' | 'accepted' | 'unanswered' | 'restarted' | 'settled' | 'withdrawn';
