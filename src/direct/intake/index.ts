/** What comes before a request is run: whether it may be, whose it is, and whether its quota bears it. */
export type { Admitted } from './admitted.js';
export { Intake } from './intake.js';
export { quotaRefusal } from './quotarefusal.js';
