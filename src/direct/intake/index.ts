/** Admission of requests: checks the route, the key and the customer's quota before a request is run. */
export type { Admitted } from './admitted.js';
export { Intake } from './intake.js';
export { quotaRefusal } from './quotarefusal.js';
