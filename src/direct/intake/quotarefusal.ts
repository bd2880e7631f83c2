import type { PaymentResult } from '../quota/index.js';
import type { Refusal } from '../refusal.js';

type Refused = Extract<PaymentResult, { readonly type: 'refused' }>;

const REFUSALS: Readonly<Record<Refused['reason'], Omit<Refusal, 'executed'>>> = {
  over: {
    status: 429,
    type: 'over-quota',
    detail: 'Requests of this customer have reached its limit.',
  },
  // The quota is not necessarily used up: another entry may know how much of it is left.
  unknown: {
    status: 503,
    type: 'quota-unknown',
    detail: 'This entry cannot tell what is left of the limit.',
  },
};

/** Returns the refusal of a request that its customer's quota does not cover; the request has not run. */
export function quotaRefusal({ reason, retryAfterMs }: Refused): Refusal {
  return { ...REFUSALS[reason], executed: 'no', retryAfterMs };
}
