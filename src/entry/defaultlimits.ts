import type { EntryLimits } from './entrylimits.js';

/** Default limits of an entry, for those that its settings omit. */
export const defaultLimits: EntryLimits = {
  inFlight: 4000,
  inFlightPerCustomer: 3000,
  connections: 8000,
  requestsAhead: 100,
  requestsUnderWay: 8,
  callerMemoryBytes: 67_108_864,
  headerBytes: 16_384,
  requestTimeoutMs: 30_000,
  heldAnswerBytes: 4_194_304,
  heldAnswersBytes: 16_777_216,
  continuationBytes: 65_536,
  stallMs: 30_000,
  callerStallMs: 60_000,
  lateAnswerMs: 30_000,
};
