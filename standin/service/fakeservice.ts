import type { IncomingMessage, ServerResponse } from 'node:http';
import { text } from 'node:stream/consumers';
import { setTimeout as wait } from 'node:timers/promises';
import type { FaultList } from '../fault/faultlist.js';
import { noFaults } from '../fault/nofaults.js';
import { LoopbackServer } from '../loopbackserver.js';
import { sendJson } from '../sendjson.js';
import { businessKey } from './businesskey.js';

/** Options of the stand-in service, with defaults in brackets. */
interface FakeServiceOptions {
  /** Duration of a call, in ms [5]. */
  readonly serviceMs?: number;
  /** Faults of calls [none]. */
  readonly faults?: FaultList;
}

const DEFAULT_SERVICE_MS = 5;

/**
 * A stand-in for a plain service. GET is a lookup; any other method performs the operation that its business key
 * identifies. An operation is counted when it starts and is not undone if the caller disconnects.
 */
export class FakeService {
  /** Number of calls that ran, including lookups. */
  ran = 0;

  private readonly server = new LoopbackServer((request, response) =>
    this.answer(request, response),
  );

  private readonly runsByKey = new Map<string, number>();

  private lastRequestId = 'some-other-request';

  constructor(private readonly options: FakeServiceOptions = {}) {}

  /** Returns how often the operation with this business key was performed. */
  runs(key: string): number {
    return this.runsByKey.get(key) ?? 0;
  }

  /** Returns every business key with the number of times that its operation was performed. */
  allRuns(): ReadonlyMap<string, number> {
    return this.runsByKey;
  }

  listen(): Promise<string> {
    return this.server.listen();
  }

  close(): void {
    this.server.close();
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await text(request);
    const fault = (this.options.faults ?? noFaults).next();
    if (fault.type === 'delay') await wait(fault.delayMs);
    if (fault.type === 'loss') {
      response.destroy();
      return;
    }
    const done = this.run(request, body);
    await wait(this.options.serviceMs ?? DEFAULT_SERVICE_MS);
    if (fault.type === 'cut' || fault.type === 'crash') {
      response.destroy();
      return;
    }
    const requestId = String(request.headers['x-request-id'] ?? '');
    const answeredId = fault.type === 'crossing' ? this.lastRequestId : requestId;
    this.lastRequestId = requestId;
    response.setHeader('x-request-id', answeredId);
    sendJson(response, 200, fault.type === 'crossing' ? { done: 'another request' } : done);
  }

  private run(request: IncomingMessage, body: string): object {
    this.ran += 1;
    if (request.method === 'GET') return { found: request.url };
    const header = request.headers['x-business-key'];
    const key = businessKey(typeof header === 'string' ? header : undefined, body);
    if (!key) return { done: null };
    this.runsByKey.set(key, this.runs(key) + 1);
    return { done: key };
  }
}
