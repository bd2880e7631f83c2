import type { Taken } from '../quota/index.js';
import type { Refusal } from '../refusal.js';

type Refused = Extract<Taken, { readonly type: 'refused' }>;

const REFUSALS: Readonly<Record<Refused['reason'], Omit<Refusal, 'executed'>>> = {
  over: {
    status: 429,
    type: 'over-quota',
    detail: 'Requests of this customer have reached its limit.',
  },
  // Nothing says that the limit is reached: another entry may know that it is not.
  unknown: {
    status: 503,
    type: 'quota-unknown',
    detail: 'This entry cannot tell what is left of the limit.',
  },
};

/** What a caller is told whose request the quota does not bear; it has not run. */
export function quotaRefusal({ reason, retryAfterMs }: Refused): Refusal {
  return { ...REFUSALS[reason], executed: 'no', retryAfterMs };
}
