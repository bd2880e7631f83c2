import {
  headOf,
  leave,
  offer,
  queueRules,
  recordSend,
  review,
  startQueue,
  type QueueRequest,
} from '../src/core/admissionqueue/index.js';

const QUEUE_LENGTHS = [10, 1000, 10_000];
const TARGET_COUNTS = [1, 80];
const CUSTOMERS = 16;
const ROUNDS = 20_000;
const BODY_BYTES = 4000;
/** Requests that change their group and are reviewed while the queue is measured, as under load. */
const WAIT_MS = 1500;

let requestCount = 0;

function targetAt(count: number, targets: number): string {
  return `chat/model-${count % targets}/`;
}

function requestAt(nowMs: number, targets: number): QueueRequest {
  requestCount += 1;
  const isReturn = requestCount % 4 !== 0;
  return {
    id: `request-${requestCount}`,
    target: targetAt(requestCount, targets),
    service: 'chat',
    rank: 1 + 2 * (requestCount % 3),
    customer: `customer-${requestCount % CUSTOMERS}`,
    arrivedAtMs: nowMs,
    refusableUntilMs: nowMs + 100,
    dueAtMs: nowMs + 400 + (requestCount % 7) * 100,
    untilMs: nowMs + 10 * WAIT_MS,
    tokens: 100 + (requestCount % 900),
    sizeBytes: 0,
    isReturn,
  };
}

/** Keeps `length` requests waiting. Each round offers one, reviews, finds the next head and sends it. */
function measure(length: number, targets: number) {
  const state = startQueue();
  const limit = queueRules.maxRequests;
  Object.assign(queueRules, { maxRequests: Infinity });
  let nowMs = 0;
  const stepMs = WAIT_MS / (2 * length);
  const offerOne = () => offer(state, requestAt(nowMs, targets), false, nowMs);
  for (let index = 0; index < length; index += 1) {
    nowMs += stepMs;
    offerOne();
  }
  let slowestUs = 0;
  let offerUs = 0;
  const cpuAtStart = process.cpuUsage();
  for (let round = 0; round < ROUNDS; round += 1) {
    const startedAt = process.hrtime.bigint();
    nowMs += stepMs;
    offerOne();
    const offeredAt = process.hrtime.bigint();
    offerUs += Number(offeredAt - startedAt) / 1000;
    review(state, () => false, nowMs);
    let head = headOf(state, targetAt(round, targets), nowMs);
    for (let next = 1; !head; next += 1) {
      head = headOf(state, targetAt(round + next, targets), nowMs);
    }
    recordSend(state, head.request, true, nowMs);
    leave(state, head.request.id, nowMs);
    slowestUs = Math.max(slowestUs, Number(process.hrtime.bigint() - startedAt) / 1000);
  }
  const { user, system } = process.cpuUsage(cpuAtStart);
  Object.assign(queueRules, { maxRequests: limit });
  const perRequestUs = (user + system) / ROUNDS;
  const round = (value: number) => Math.round(value * 10) / 10;
  return {
    queueLength: state.waiting.size,
    targets,
    cpuPerRequestUs: round(perRequestUs),
    offerUs: round(offerUs / ROUNDS),
    chooseAndSendUs: round(perRequestUs - offerUs / ROUNDS),
    slowestUs: round(slowestUs),
  };
}

/** Measures the memory of a full queue, without and with bodies of 4,000 bytes. */
function memoryOfFullQueue() {
  globalThis.gc?.();
  const before = process.memoryUsage();
  const state = startQueue();
  const bodies: Buffer[] = [];
  for (let index = 0; index < queueRules.maxRequests; index += 1) {
    offer(state, { ...requestAt(0, 80), sizeBytes: BODY_BYTES }, false, 0);
    bodies.push(Buffer.allocUnsafeSlow(BODY_BYTES));
  }
  globalThis.gc?.();
  const after = process.memoryUsage();
  return {
    requests: state.waiting.size,
    bodyBytes: state.sizeBytes,
    heapKb: Math.round((after.heapUsed - before.heapUsed) / 1024),
    withBodiesKb: Math.round(
      (after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers) / 1024,
    ),
    heldBodies: bodies.length,
    isExact: globalThis.gc !== undefined,
  };
}

/**
 * Measures the CPU time of the queue of an entry per request, split into the offer and the choice of the next request
 * (review, head, send, leave), and the memory of a full queue.
 */
export async function queueCost(): Promise<object> {
  const memory = memoryOfFullQueue();
  measure(100, 1);
  const rows = TARGET_COUNTS.flatMap((targets) =>
    QUEUE_LENGTHS.map((length) => measure(length, targets)),
  );
  return Promise.resolve({ rows, memory });
}
