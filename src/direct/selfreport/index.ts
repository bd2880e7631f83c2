/** What upstreams say of themselves in their answers, as entries keep it, heed it and tell each other. */
export type { SlotAnswer } from './slotanswer.js';
export type { SlotQuestion } from './slotquestion.js';
export { SlotBook } from './slotbook.js';
export { SlotDesk } from './slotdesk.js';
export type { StandingNews } from './standingnews.js';
export { UpstreamGate } from './upstreamgate.js';
