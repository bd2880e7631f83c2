/** State that upstreams report of themselves in answers: how entries store, apply and share it. */
export type { SlotAnswer } from './slotanswer.js';
export type { SlotRequest } from './slotrequest.js';
export { SlotSchedule } from './slotschedule.js';
export { SlotClient } from './slotclient.js';
export type { ReportedStateUpdate } from './reportedstateupdate.js';
export { UpstreamGate } from './upstreamgate.js';
