import type { IncomingMessage, ServerResponse } from 'node:http';
import { json } from 'node:stream/consumers';
import { setTimeout as wait } from 'node:timers/promises';
import type { Order } from '../../src/port/index.js';
import type { FaultList } from '../fault/faultlist.js';
import { noFaults } from '../fault/nofaults.js';
import { LoopbackServer } from '../loopbackserver.js';
import { sendJson } from '../sendjson.js';
import type { Answer } from './answer.js';
import { AnswerTable } from './answertable.js';
import type { GenerationRequest } from './generationrequest.js';
import { defaultCurve } from './defaultcurve.js';
import { emptyEngine } from './emptyengine.js';
import { EngineClock } from './engineclock.js';
import { engineDefaults } from './enginedefaults.js';
import type { EngineEffect } from './engineeffect.js';
import type { EngineEvent } from './engineevent.js';
import type { EngineOptions } from './engineoptions.js';
import type { EngineCounts, EngineRequest, EngineState } from './enginestate.js';
import type { FakeEngineOptions } from './fakeengineoptions.js';
import { foldText } from './foldtext.js';
import { StateHistory } from './statehistory.js';
import { reportOf } from './reportof.js';
import { requestOf } from './requestof.js';
import { stepEngine } from './stepengine.js';

type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
  requestId: string,
) => Promise<void> | void;
type Effects = {
  readonly [Type in EngineEffect['type']]: (effect: Extract<EngineEffect, { type: Type }>) => void;
};

const ADMIN_REQUEST = /^\/admin\/requests\/([^/]+)\/(cancel|cache)$/;
const PERCENT = 100;
const NOT_LOADED = { error: { message: 'The model is not loaded.', code: 'model_not_found' } };
const NOT_KEPT = { error: { message: 'No such answer is kept.', code: 'not_kept' } };

/**
 * A stand-in for a model engine: the HTTP shell around `stepEngine`. All stand-in engines generate the same tokens
 * for the same prompt. Serves the paths of docs/ENGINES.md and counts the generations that actually ran.
 */
export class FakeEngine {
  /** Number of generations that started to run. */
  ran = 0;

  private readonly options: EngineOptions;

  private readonly clock: EngineClock;

  private readonly server = new LoopbackServer((request, response) =>
    this.handle(request, response),
  );

  private readonly book = new AnswerTable((key) => this.apply({ type: 'gone', key }));

  private readonly runsById = new Map<string, number>();

  private readonly history: StateHistory;

  private state: EngineState;

  private isLeaving = false;

  private nextKey = 0;

  private orderResponse: ServerResponse | undefined;

  private readonly effects: Effects = {
    began: ({ requestId }) => {
      this.ran += 1;
      this.runsById.set(requestId, this.runs(requestId) + 1);
    },
    refused: ({ key }) => this.book.refuse(key, 404, NOT_LOADED),
    token: ({ key, index, text }) => this.book.appendToken(key, index, text),
    finished: ({ key }) => this.book.finish(key),
    cut: ({ key }) => this.book.cut(key),
    load: ({ order, sizeBytes }) => this.completeLater('loaded', order, this.load(sizeBytes)),
    change: ({ order, afterMs }) =>
      this.completeLater('changed', order, wait(this.clock.realMs(afterMs))),
    'order-taken': () => this.answerOrder(202, {}),
    'order-fenced': () => this.answerOrder(412, { error: 'The fencing token is old.' }),
    'order-refused': ({ reason }) => this.answerOrder(409, { error: reason }),
    overcommitted: ({ detail }) => console.error(`FakeEngine: OVERCOMMITTED: ${detail}`),
  };

  private readonly routes: Readonly<Record<string, Handler>> = {
    'POST /v1/chat/completions': (request, response) => this.generate(request, response),
    'POST /v1/completions': (request, response) => this.generate(request, response),
    'POST /admin/orders': (request, response) => this.order(request, response),
    'GET /admin/report': (_request, response) => this.report(response),
    'GET /admin/cache-events': (request, response) => this.cacheEvents(request, response),
    'POST cancel': (_request, response, requestId) => {
      this.apply({ type: 'cancel', requestId });
      sendJson(response, 200, {});
    },
    'GET cache': (_request, response, requestId) => this.exportCache(response, requestId),
    'PUT cache': (request, response, requestId) => this.importCache(request, response, requestId),
  };

  constructor(private readonly overrides: FakeEngineOptions = {}) {
    const { tokenMs } = overrides;
    const fixed = { prefillTokenMs: 0, stepMs: tokenMs ?? 0, stepMsPerRequest: 0 };
    const curve = tokenMs === undefined ? defaultCurve : { ...defaultCurve, ...fixed };
    this.options = { ...engineDefaults, curve, ...overrides };
    this.clock = new EngineClock(overrides.speed ?? 1);
    const residents = (overrides.residents ?? []).map((resident) => ({
      version: '1',
      ...resident,
      phase: 'ready' as const,
      adapters: [],
    }));
    this.state = { ...emptyEngine, residents };
    this.history = new StateHistory(overrides.reportLagMs ?? 0, performance.now(), this.state);
  }

  /** Counters of what this engine did, across restarts. */
  get counts(): EngineCounts {
    return this.state.counts;
  }

  get overcommits(): number {
    return this.state.counts.overcommits;
  }

  /** Models that are loaded and ready. */
  get ready(): readonly string[] {
    return this.state.residents.filter(({ phase }) => phase === 'ready').map(({ model }) => model);
  }

  /** Returns how often this request started to run here. */
  runs(requestId: string): number {
    return this.runsById.get(requestId) ?? 0;
  }

  /** Returns every request that ran here, with its number of runs. */
  allRuns(): ReadonlyMap<string, number> {
    return this.runsById;
  }

  /** Marks this engine as leaving in its reports from now on. */
  leave(): void {
    this.isLeaving = true;
  }

  /** Simulates a crash and restart: clears the memory and cuts every answer. */
  crash(): void {
    this.apply({ type: 'crash' });
  }

  /** Listens on a free loopback port and returns the URL. */
  listen(): Promise<string> {
    return this.server.listen();
  }

  close(): void {
    this.clock.setTimer(undefined, () => {});
    this.server.close();
  }

  private apply(event: EngineEvent): void {
    const { state, effects } = stepEngine(this.state, event, this.clock.nowMs(), this.options);
    this.state = state;
    for (const effect of effects) {
      (this.effects[effect.type] as (effect: EngineEffect) => void)(effect);
    }
    this.clock.setTimer(this.state.stepEndsAtMs, () => this.apply({ type: 'tick' }));
  }

  private handle(request: IncomingMessage, response: ServerResponse): Promise<void> | void {
    const [path = ''] = (request.url ?? '').split('?');
    const [, requestId = '', act = ''] = ADMIN_REQUEST.exec(path) ?? [];
    const route = this.routes[`${request.method} ${act || path}`];
    if (route) return route(request, response, decodeURIComponent(requestId));
    return sendJson(response, 404, { error: 'No such path.' });
  }

  /** Applies the next fault to a call; returns undefined if the fault ends the call. */
  private async applyFault(
    faults: FaultList | undefined,
    response: ServerResponse,
  ): Promise<Answer['fault'] | undefined> {
    const fault = (faults ?? noFaults).next();
    if (fault.type === 'delay') await wait(fault.delayMs);
    if (fault.type === 'crash') this.crash();
    if (fault.type !== 'loss' && fault.type !== 'crash') return fault;
    response.destroy();
    return undefined;
  }

  private async generate(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const ask = (await json(request)) as GenerationRequest;
    const fault = await this.applyFault(this.overrides.faults, response);
    if (!fault) return;
    this.nextKey += 1;
    const requestId = String(request.headers['x-request-id'] ?? `generated-${this.nextKey}`);
    const resumeFrom = request.headers['last-event-id'];
    if (resumeFrom !== undefined) {
      this.resume(requestId, Number(resumeFrom), response);
      return;
    }
    const priority = Number(request.headers['x-priority'] ?? 0);
    const identity = { key: this.nextKey, requestId, priority };
    const engineRequest = requestOf(ask, this.options.tokens, identity);
    const answer = {
      requestId: fault.type === 'crossing' ? this.book.otherId(requestId) : requestId,
      model: ask.model,
      path: request.url ?? '',
      stream: ask.stream === true,
      promptTokens: engineRequest.promptTokens,
      tokens: [],
      wanted: engineRequest.tokens,
      fault,
    };
    this.begin(engineRequest, answer, response);
  }

  private begin(request: EngineRequest, answer: Answer, response: ServerResponse): void {
    this.book.retainOnly((key) => this.state.requests.has(key));
    this.book.attach(request.key, answer, response);
    this.apply({ type: 'ask', request });
  }

  private resume(requestId: string, lastIndex: number, response: ServerResponse): void {
    const request = this.find(requestId);
    if (!request) {
      sendJson(response, 404, NOT_KEPT);
      return;
    }
    this.book.resume(request.key, lastIndex, response);
    if (request.phase === 'finished') this.book.finish(request.key);
    if (request.phase === 'kept') this.apply({ type: 'resume', key: request.key });
  }

  private find(requestId: string): EngineRequest | undefined {
    return [...this.state.requests.values()].findLast((request) => request.requestId === requestId);
  }

  private async order(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const order = (await json(request)) as Order;
    const fault = await this.applyFault(this.overrides.orderFaults, response);
    if (!fault) return;
    if (fault.type === 'cut') response.destroy();
    this.orderResponse = response;
    this.apply({ type: 'order', order });
    this.recordState();
  }

  private answerOrder(status: number, body: object): void {
    if (this.orderResponse && !this.orderResponse.destroyed) {
      sendJson(this.orderResponse, status, body);
    }
    this.orderResponse = undefined;
  }

  private load(sizeBytes: number): Promise<void> {
    const { weightStore } = this.overrides;
    if (weightStore) return weightStore.load(sizeBytes);
    return wait(this.clock.realMs(sizeBytes / this.options.curve.loadBytesPerMs));
  }

  /** Applies `type` once `done` resolves, unless the engine has restarted in between. */
  private completeLater(type: 'loaded' | 'changed', order: Order, done: Promise<void>): void {
    const { restarts } = this.state;
    void done.then(() => {
      if (restarts !== this.state.restarts) return;
      this.apply({ type, order });
      this.recordState();
    });
  }

  private recordState(): void {
    this.history.record(performance.now(), this.state);
  }

  private report(response: ServerResponse): void {
    this.recordState();
    const nowMs = performance.now();
    const { atMs, sequence, state } = this.history.visibleSnapshot(nowMs);
    const report = reportOf(state, this.options, {
      engineId: this.overrides.engineId ?? 'engine',
      sequence,
      ageMs: Math.ceil(nowMs - atMs),
      leaving: this.isLeaving,
    });
    sendJson(response, 200, report);
  }

  private cacheEvents(request: IncomingMessage, response: ServerResponse): void {
    this.recordState();
    const after = Number(new URL(request.url ?? '', 'http://engine').searchParams.get('after'));
    const { cache } = this.history.visibleSnapshot(performance.now()).state;
    const lostPercent = this.overrides.lostCacheEventPercent ?? 0;
    const events = cache.events.filter(
      ({ sequence }) => sequence > after && foldText(String(sequence)) % PERCENT >= lostPercent,
    );
    sendJson(response, 200, { lastSequence: cache.lastSequence, events });
  }

  private exportCache(response: ServerResponse, requestId: string): void {
    const request = this.find(requestId);
    const answer = request && this.book.get(request.key);
    if (!request || !answer) {
      sendJson(response, 404, NOT_KEPT);
      return;
    }
    sendJson(response, 200, { request, answer: { ...answer, response: undefined } });
  }

  private async importCache(
    incoming: IncomingMessage,
    response: ServerResponse,
    requestId: string,
  ): Promise<void> {
    const { request, answer } = (await json(incoming)) as {
      request: EngineRequest;
      answer: Answer;
    };
    this.nextKey += 1;
    const phase = request.phase === 'finished' ? 'finished' : 'kept';
    this.book.attach(this.nextKey, { ...answer, requestId }, undefined);
    const key = this.nextKey;
    this.apply({ type: 'import', request: { ...request, key, requestId, phase, imported: true } });
    sendJson(response, 200, {});
  }
}
