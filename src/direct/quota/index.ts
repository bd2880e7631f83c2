/** Quotas of customers: the client in each entry, the ledger at the holder, and the messages between them. */
export { Charge } from './charge.js';
export { customerLabel } from './customerlabel.js';
export type { CustomerState } from './customerstate.js';
export type { DrawAnswer } from './drawanswer.js';
export type { DrawRequest } from './drawrequest.js';
export type { QuotaAnswer } from './quotaanswer.js';
export { QuotaLedger } from './quotaledger.js';
export { QuotaClient } from './quotaclient.js';
export type { QuotaReport } from './quotareport.js';
export type { PaymentResult } from './paymentresult.js';
export { listCustomers } from './listcustomers.js';
