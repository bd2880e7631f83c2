import { admission, startAdmission, type AdmissionPolicy } from '../src/core/admission/index.js';
import { reenvio } from './experiment/index.js';

const QUEUE_LENGTHS = [10, 100, 1000, 10_000];
const TURNS = 50_000;
const SLOTS = 16;

const { kinds, customers } = reenvio.document;
const POLICY: AdmissionPolicy = {
  type: 'engine',
  kinds,
  customers,
  slots: SLOTS,
  paceGoalMs: 53,
  longJobs: 4,
  queueLimit: 1e9,
};

/** Keeps so many waiting: each turn offers one request and ends one. */
function measure(queueLength: number) {
  const state = startAdmission(POLICY);
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
  const begunAt = process.cpuUsage();
  for (let turn = 1; turn <= TURNS; turn += 1) {
    offer(turn);
    const [requestId = ''] = state.running.keys();
    admission(state, { type: 'answering', requestId }, turn);
    admission(state, { type: 'released', requestId, outcome: 'answered', tokenCount: 10 }, turn);
  }
  const { user, system } = process.cpuUsage(begunAt);
  const perRequestUs = (user + system) / TURNS;
  return {
    queueLength: state.waiting.size,
    cpuPerRequestUs: Math.round(perRequestUs * 100) / 100,
    requestsPerCpuSecond: Math.round(1e6 / perRequestUs),
  };
}

/** CPU that the admission core takes for one request (offer, first token, end), by length of the queue. */
export async function admissionCost(): Promise<object> {
  measure(100);
  return Promise.resolve({ rows: QUEUE_LENGTHS.map(measure) });
}
