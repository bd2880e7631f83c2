/** Quotas of customers: the entry's side, the holder's, and what they tell each other. */
export { Charge } from './charge.js';
export { customerLabel } from './customerlabel.js';
export type { CustomerState } from './customerstate.js';
export type { DrawAnswer } from './drawanswer.js';
export type { DrawQuestion } from './drawquestion.js';
export type { QuotaAnswer } from './quotaanswer.js';
export { QuotaBook } from './quotabook.js';
export { QuotaDesk } from './quotadesk.js';
export type { QuotaReport } from './quotareport.js';
export type { Taken } from './taken.js';
export { tellCustomers } from './tellcustomers.js';
