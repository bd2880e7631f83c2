import { admission, startAdmission, type AdmissionPolicy } from '../src/core/admission/index.js';
import type { Customer } from '../src/core/document/index.js';
import { reenvio } from './experiment/index.js';

const QUEUE_LENGTHS = [10, 100, 1000, 10_000];
const CUSTOMER_COUNTS = [10, 1000];
const ROUNDS = 30_000;
const SLOTS = 16;

const { kinds } = reenvio.document;
const POLICY: Omit<AdmissionPolicy, 'customers'> = {
  type: 'engine',
  kinds,
  slots: SLOTS,
  paceGoalMs: 53,
  longJobs: 4,
  queueLimit: 1e9,
};

/** Keeps `queueLength` requests of `customerCount` customers waiting; each round offers one request and ends one. */
function measure(queueLength: number, customerCount: number) {
  const customers = Array.from({ length: customerCount }, (_, index) => ({
    id: `customer-${index}` as Customer['id'],
    share: 1,
  }));
  const state = startAdmission({ ...POLICY, customers });
  let count = 0;
  const offer = (nowMs: number) => {
    count += 1;
    const kind = kinds[count % 2]!;
    const customer = customers[count % customers.length]!.id;
    const request = { requestId: `r${count}`, customer, kind: kind.name, model: `m${count % 4}` };
    const offered = {
      ...request,
      promptTokens: 300,
      maxTokens: 0,
      remainingMs: 1e9,
      resumed: false,
    };
    admission(state, { type: 'offered', offer: offered }, nowMs);
  };
  for (let index = 0; index < queueLength + SLOTS; index += 1) offer(0);
  const cpuAtStart = process.cpuUsage();
  for (let round = 1; round <= ROUNDS; round += 1) {
    offer(round);
    const [requestId = ''] = state.running.keys();
    admission(state, { type: 'answering', requestId }, round);
    admission(state, { type: 'released', requestId, outcome: 'answered', tokenCount: 10 }, round);
  }
  const { user, system } = process.cpuUsage(cpuAtStart);
  const perRequestUs = (user + system) / ROUNDS;
  return {
    queueLength: state.waiting.size,
    customerCount,
    cpuPerRequestUs: Math.round(perRequestUs * 100) / 100,
    requestsPerCpuSecond: Math.round(1e6 / perRequestUs),
  };
}

/** Measures the admission core's CPU time per request (offer, first token, end) by queue length. */
export async function admissionCost(): Promise<object> {
  measure(100, 10);
  const rows = CUSTOMER_COUNTS.flatMap((customers) =>
    QUEUE_LENGTHS.map((queueLength) => measure(queueLength, customers)),
  );
  return Promise.resolve({ rows });
}
