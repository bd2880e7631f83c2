import type { Ms } from '../../base/index.js';
import type { OpenOrder } from '../ledger/index.js';

const FIRST_RESEND_MS: Ms = 1000;
const LAST_RESEND_MS: Ms = 30_000;

/** An accepted order that is not settled within this time is sent again. */
const OVERDUE_MS: Ms = 60_000;

/** Time at which an order in each phase is due to be sent, or sent again. */
const DUE_AT: Readonly<Record<OpenOrder['phase'], (open: OpenOrder) => Ms>> = {
  intended: () => 0,
  sent: () => Infinity,
  confirmed: ({ lastSentAtMs }) => lastSentAtMs + OVERDUE_MS,
  unknown: ({ lastSentAtMs, sentCount }) =>
    lastSentAtMs + Math.min(LAST_RESEND_MS, FIRST_RESEND_MS * 2 ** (sentCount - 1)),
  resolved: () => Infinity,
};

/** True if the next attempt of an order is due. */
export function isDue(open: OpenOrder, nowMs: Ms): boolean {
  return nowMs >= DUE_AT[open.phase](open);
}
