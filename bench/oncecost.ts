import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { nanoid } from 'nanoid';
import type { CustomerId, Incarnation, ServiceId, UpstreamId } from '../src/base/index.js';
import {
  exportTable,
  openTable,
  stepTable,
  type TableEffect,
  type TableEvent,
  type TableState,
} from '../src/core/ticket/index.js';
import { requestHash } from '../src/shell/hash/index.js';

const SIZES = [1000, 10_000, 100_000];
const ANSWER_BYTES = 300;
const BODY_BYTES = 200;
const SECRET_LENGTH = 22;
const VALID_MS = 600_000;
const PIECE_BYTES = 1_048_576;
const US_PER_MS = 1000;
const LIMITS = { tableBytes: 1e9, answerBytes: 1e6, maxValidMs: VALID_MS };

const customer = 'mudanzas' as CustomerId;
const service = 'padron' as ServiceId;

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

function heapBytes(): number {
  collect();
  return process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers;
}

/** Measures the operations of a ticket table that holds a given number of live tickets. */
class TableMeasurement {
  private state: TableState;

  private readonly tickets: string[] = [];

  private calls = 0;

  constructor(private readonly count: number) {
    this.state = openTable('padron-1' as UpstreamId, 1 as Incarnation, LIMITS, 0);
  }

  measure(): object {
    const emptyBytes = heapBytes();
    const issueUs = this.perTicketUs(() => this.issue());
    const issuedBytes = heapBytes();
    const runUs = this.perTicketUs((index) => this.run(index));
    const answeredBytes = heapBytes();
    const repeatUs = this.perTicketUs((index) => this.begin(index));
    const { usedBytes } = this.state;
    const exportMs = this.export();
    const startedMs = performance.now();
    this.step({ type: 'sweep' }, 2 * VALID_MS);
    const sweepMs = performance.now() - startedMs;
    return {
      tickets: this.count,
      issueUs,
      runUs,
      repeatUs,
      exportMs: Math.round(exportMs),
      sweepMs: Math.round(sweepMs),
      heapBytesPerIssued: Math.round((issuedBytes - emptyBytes) / this.count),
      heapBytesPerAnswered: Math.round((answeredBytes - emptyBytes) / this.count),
      reckonedBytesPerAnswered: Math.round(usedBytes / this.count),
      leftAfterSweep: this.state.rows.size,
    };
  }

  private perTicketUs(act: (index: number) => void): number {
    const startedMs = performance.now();
    for (let index = 0; index < this.count; index += 1) act(index);
    const tookUs = (performance.now() - startedMs) * US_PER_MS;
    return Number((tookUs / this.count).toFixed(2));
  }

  private issue(): void {
    const callId = this.nextCall();
    const secret = nanoid(SECRET_LENGTH);
    const [effect] = this.step({ type: 'issue', callId, customer, service, validMs: 0, secret });
    if (effect?.type === 'issued') this.tickets.push(effect.reply.ticket);
  }

  /** Begins, starts and finishes one request as the sidecar does, including the request hash. */
  private run(index: number): void {
    const ticket = this.tickets[index]!;
    this.begin(index);
    this.step({ type: 'start', callId: this.nextCall(), ticket });
    const body = Buffer.alloc(ANSWER_BYTES);
    const headers = [{ name: 'content-type', value: 'application/json' }];
    const answer = { status: 200, headers, body, pieceBytes: [ANSWER_BYTES] };
    this.step({ type: 'finish', ticket, end: { type: 'answered', answer } });
  }

  private begin(index: number): void {
    const ticket = this.tickets[index]!;
    const hash = requestHash('POST', '/reenvios', Buffer.alloc(BODY_BYTES, index));
    const callId = this.nextCall();
    this.step({ type: 'begin', callId, ticket, customer, service, requestHash: hash });
  }

  private export(): number {
    this.step({ type: 'leave' });
    const startedMs = performance.now();
    let entryCount = 0;
    for (const { entries } of exportTable(this.state, PIECE_BYTES, 1)) entryCount += entries.length;
    return entryCount === this.count ? performance.now() - startedMs : NaN;
  }

  private nextCall(): string {
    this.calls += 1;
    return String(this.calls);
  }

  private step(event: TableEvent, nowMs = 1): readonly TableEffect[] {
    const change = stepTable(this.state, event, nowMs);
    this.state = change.state;
    return change.effects;
  }
}

/** Measures the cost of the ticket table on one core for several numbers of live tickets. */
export async function onceCost(): Promise<object> {
  new TableMeasurement(SIZES[0]!).measure();
  const sizes = SIZES.map((count) => new TableMeasurement(count).measure());
  return { answerBytes: ANSWER_BYTES, sizes };
}
