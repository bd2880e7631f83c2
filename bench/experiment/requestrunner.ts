/* eslint no-param-reassign: off -- a simulated world changes its own records in place */
import type { AdmissionEffect, AdmissionEvent } from '../../src/core/admission/index.js';
import { stepMs } from '../../standin/index.js';
import type { Scheduler } from './scheduler.js';
import type { WorkloadRequest } from './workloadrequest.js';
import type { Flight } from './flight.js';
import type { Residency } from './residency.js';
import type { ReportedLoad } from './queuepolicy.js';
import type { RefusalLog } from './refusallog.js';
import type { RouteOutcome } from './routepolicy.js';
import type { RunOptions } from './runoptions.js';
import type { SimUpstream } from './simupstream.js';
import type { RunStatistics } from './runstatistics.js';

const PACE_MS = 500;

/** Dependencies of the request runner, and its callbacks to the entries. */
interface RequestRunnerOptions {
  readonly run: RunOptions;
  readonly scheduler: Scheduler;
  readonly upstreams: readonly SimUpstream[];
  readonly logs: readonly RefusalLog[];
  readonly statistics: RunStatistics;
  readonly residency: () => Residency;
  readonly learn: (
    flight: Flight,
    type: RouteOutcome['type'],
    load: ReportedLoad | undefined,
  ) => void;
  /** Called when an upstream returns a request without running it. */
  readonly again: (flight: Flight, reason: string) => void;
  readonly served: (ask: WorkloadRequest, tookMs: number) => void;
}

function queuedFirst(a: Flight, b: Flight): number {
  return Number(a.phase === 'running') - Number(b.phase === 'running');
}

/** Runs requests at the upstreams: queues them, starts them on an engine or plain service, and ends them. */
export class RequestRunner {
  constructor(private readonly options: RequestRunnerOptions) {}

  /** Records the first token of a request. */
  firstToken(upstream: SimUpstream, flight: Flight): void {
    flight.firstAtMs = this.options.scheduler.nowMs;
    this.dispatch(upstream, { type: 'answering', requestId: flight.ask.requestId });
  }

  /** Ends a request whose answer is complete. */
  finish(upstream: SimUpstream, flight: Flight): void {
    flight.phase = 'ended';
    this.removeFlight(upstream, flight);
    this.options.statistics.answered(flight, this.options.scheduler.nowMs);
    this.options.served(flight.ask, this.options.scheduler.nowMs - flight.startedAtMs);
    this.released(upstream, flight, 'answered');
    this.options.learn(flight, 'answered', upstream.queue.load(this.options.scheduler.nowMs));
  }

  /** Stops a lost upstream and returns the requests that it had, queued ones first. */
  kill(upstream: SimUpstream): readonly Flight[] {
    const flights = [...upstream.flights.values()].sort(queuedFirst);
    upstream.engine?.crash();
    for (const { ask, phase } of flights) {
      const { requestId } = ask;
      upstream.queue.step(
        phase === 'running'
          ? { type: 'released', requestId, outcome: 'broken', tokenCount: 0 }
          : { type: 'abandoned', requestId },
        this.options.scheduler.nowMs,
      );
    }
    Object.assign(upstream, {
      alive: false,
      incarnation: upstream.incarnation + 1,
      running: 0,
      queued: 0,
    });
    Object.assign(upstream, { wakeAtMs: Infinity, engineDueAtMs: Infinity });
    upstream.flights.clear();
    this.options.residency().clear(upstream);
    return flights;
  }

  offer(flight: Flight, upstream: SimUpstream): void {
    flight.upstream = upstream.index;
    if (!upstream.alive) {
      this.options.learn(flight, 'unreachable', undefined);
      this.options.again(flight, 'no-upstream');
      return;
    }
    const { ask } = flight;
    const resident = upstream.residents.get(ask.model);
    if (ask.model && (!resident || resident.phase === 'unloading')) {
      this.options.learn(flight, 'refused', upstream.queue.load(this.options.scheduler.nowMs));
      this.options.again(flight, 'model-absent');
      return;
    }
    flight.phase = 'queued';
    upstream.flights.set(ask.requestId, flight);
    upstream.queued += 1;
    this.dispatch(upstream, {
      type: 'offered',
      offer: {
        requestId: ask.requestId,
        customer: ask.customer,
        kind: ask.kind.name,
        model: ask.model,
        promptTokens: ask.promptTokens,
        maxTokens: 0,
        remainingMs: flight.deadlineAtMs - this.options.scheduler.nowMs,
        resumed: flight.firstAtMs >= 0,
      },
    });
  }

  dispatch(upstream: SimUpstream, event: AdmissionEvent): void {
    for (const effect of upstream.queue.step(event, this.options.scheduler.nowMs)) {
      this.act(upstream, effect);
    }
    this.scheduleEngine(upstream);
  }

  private act(upstream: SimUpstream, effect: AdmissionEffect): void {
    if (effect.type === 'wake') {
      this.wake(upstream, effect.atMs);
      return;
    }
    const flight = upstream.flights.get(effect.requestId);
    if (!flight) return;
    if (effect.type === 'start') this.start(upstream, flight);
    else if (effect.type === 'refuse') {
      flight.retryAfterMs = effect.retryAfterMs;
      this.refuse(upstream, flight, effect.failure);
    } else this.preempt(upstream, flight);
  }

  private wake(upstream: SimUpstream, atMs: number): void {
    const { incarnation } = upstream;
    upstream.wakeAtMs = atMs;
    this.options.scheduler.at(atMs, () => {
      if (upstream.incarnation !== incarnation || upstream.wakeAtMs !== atMs) return;
      upstream.wakeAtMs = Infinity;
      this.dispatch(upstream, { type: 'ticked' });
    });
  }

  private start(upstream: SimUpstream, flight: Flight): void {
    const { ask } = flight;
    if (upstream.residents.get(ask.model)?.phase === 'loading') {
      this.rejectAbsent(upstream, flight);
      return;
    }
    flight.phase = 'running';
    flight.startedAtMs = this.options.scheduler.nowMs;
    flight.tokensAtStart = flight.tokens;
    upstream.queued -= 1;
    upstream.running += 1;
    this.options.logs[upstream.index]!.recordStart(
      this.options.scheduler.nowMs,
      ask,
      flight.deadlineAtMs,
    );
    if (flight.preemptions === 0) {
      this.options.statistics.waited(flight, this.options.scheduler.nowMs - ask.atMs);
    }
    const resident = upstream.residents.get(ask.model);
    if (resident) {
      resident.running += 1;
      resident.lastUsedAtMs = this.options.scheduler.nowMs;
    }
    if (upstream.engine) upstream.engine.add(flight, this.options.scheduler.nowMs);
    else this.servePlain(upstream, flight);
  }

  /** Returns a request that the queue started while its model is still loading. */
  private rejectAbsent(upstream: SimUpstream, flight: Flight): void {
    const { requestId } = flight.ask;
    upstream.flights.delete(requestId);
    upstream.queued -= 1;
    this.dispatch(upstream, { type: 'released', requestId, outcome: 'cancelled', tokenCount: 0 });
    this.options.learn(flight, 'refused', upstream.queue.load(this.options.scheduler.nowMs));
    this.options.again(flight, 'model-absent');
  }

  private servePlain(upstream: SimUpstream, flight: Flight): void {
    const { incarnation } = upstream;
    this.options.scheduler.at(this.options.scheduler.nowMs + flight.ask.serviceMs, () => {
      if (upstream.incarnation === incarnation) this.finish(upstream, flight);
    });
  }

  private refuse(upstream: SimUpstream, flight: Flight, reason: string): void {
    upstream.flights.delete(flight.ask.requestId);
    upstream.queued -= 1;
    const { ask, deadlineAtMs } = flight;
    if (reason === 'deadline-unmeetable') {
      this.options.logs[upstream.index]!.recordRefusal(
        this.options.scheduler.nowMs,
        ask,
        deadlineAtMs,
        this.minServiceMs(ask),
      );
    }
    this.options.learn(flight, 'refused', upstream.queue.load(this.options.scheduler.nowMs));
    this.options.again(flight, reason);
  }

  private minServiceMs(ask: WorkloadRequest): number {
    if (!ask.model) return ask.serviceMs;
    const { curve } = this.options.run;
    return ask.promptTokens * curve.prefillTokenMs + stepMs(curve, 1);
  }

  private preempt(upstream: SimUpstream, flight: Flight): void {
    if (flight.phase !== 'running') return;
    upstream.engine?.remove(flight, this.options.scheduler.nowMs);
    flight.preemptions += 1;
    this.options.statistics.preemptions += 1;
    this.removeFlight(upstream, flight);
    this.released(upstream, flight, 'preempted');
    this.offer(flight, upstream);
  }

  private removeFlight(upstream: SimUpstream, flight: Flight): void {
    upstream.flights.delete(flight.ask.requestId);
    upstream.running -= 1;
    const resident = upstream.residents.get(flight.ask.model);
    if (!resident) return;
    resident.running -= 1;
    if (resident.phase === 'unloading' && resident.running === 0) {
      this.options.residency().removeResident(upstream, resident);
    }
  }

  private released(upstream: SimUpstream, flight: Flight, outcome: 'answered' | 'preempted'): void {
    this.reportPace(upstream);
    const tokenCount = flight.tokens - flight.tokensAtStart;
    this.dispatch(upstream, {
      type: 'released',
      requestId: flight.ask.requestId,
      outcome,
      tokenCount,
    });
    const { running, slots } = upstream.queue.load(this.options.scheduler.nowMs);
    if (upstream.queued === 0 && running < slots) {
      this.options.logs[upstream.index]!.recordIdle(this.options.scheduler.nowMs);
    }
  }

  private reportPace(upstream: SimUpstream): void {
    if (!upstream.engine || this.options.scheduler.nowMs - upstream.paceAtMs < PACE_MS) return;
    upstream.paceAtMs = this.options.scheduler.nowMs;
    this.dispatch(upstream, { type: 'paced', ...upstream.engine.takePace() });
  }

  private scheduleEngine(upstream: SimUpstream): void {
    const { engine, incarnation } = upstream;
    if (!engine || engine.dueAtMs === upstream.engineDueAtMs) return;
    const atMs = engine.dueAtMs;
    upstream.engineDueAtMs = atMs;
    if (atMs === Infinity) return;
    this.options.scheduler.at(atMs, () => {
      if (upstream.incarnation !== incarnation || upstream.engineDueAtMs !== atMs) return;
      upstream.engineDueAtMs = -1;
      engine.finishSteps(this.options.scheduler.nowMs);
      this.scheduleEngine(upstream);
    });
  }
}
