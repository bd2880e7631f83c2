/* eslint no-param-reassign: off -- a simulated world changes its own records in place */
import type { AdmissionEffect, AdmissionEvent } from '../../src/core/admission/index.js';
import { stepMs } from '../../standin/index.js';
import type { Agenda } from './agenda.js';
import type { Ask } from './ask.js';
import type { Flight } from './flight.js';
import type { Memories } from './memories.js';
import type { SeenLoad } from './queuepolicy.js';
import type { RefusalLog } from './refusallog.js';
import type { RouteOutcome } from './routepolicy.js';
import type { RunOptions } from './runoptions.js';
import type { SimUpstream } from './simupstream.js';
import type { Tally } from './tally.js';

const PACE_EVERY_MS = 500;

/** What the upstreams' side is built from, and what it tells the entries. */
interface FloorOptions {
  readonly run: RunOptions;
  readonly agenda: Agenda;
  readonly upstreams: readonly SimUpstream[];
  readonly logs: readonly RefusalLog[];
  readonly tally: Tally;
  readonly memories: () => Memories;
  readonly learn: (flight: Flight, type: RouteOutcome['type'], load: SeenLoad | undefined) => void;
  /** A request was given back unrun. */
  readonly again: (flight: Flight, reason: string) => void;
  readonly served: (ask: Ask, tookMs: number) => void;
}

function queuedFirst(a: Flight, b: Flight): number {
  return Number(a.phase === 'running') - Number(b.phase === 'running');
}

/** Requests at the upstreams: queue, engine or plain service, and their ends. */
export class Floor {
  constructor(private readonly options: FloorOptions) {}

  /** The first token of a request has come. */
  first(upstream: SimUpstream, flight: Flight): void {
    flight.firstAtMs = this.options.agenda.nowMs;
    this.tell(upstream, { type: 'answering', requestId: flight.ask.requestId });
  }

  /** The answer is whole. */
  finish(upstream: SimUpstream, flight: Flight): void {
    flight.phase = 'ended';
    this.leave(upstream, flight);
    this.options.tally.answered(flight, this.options.agenda.nowMs);
    this.options.served(flight.ask, this.options.agenda.nowMs - flight.startedAtMs);
    this.released(upstream, flight, 'answered');
    this.options.learn(flight, 'answered', upstream.queue.load(this.options.agenda.nowMs));
  }

  /** An upstream dies: gives the requests that it had. */
  kill(upstream: SimUpstream): readonly Flight[] {
    const flights = [...upstream.flights.values()].sort(queuedFirst);
    upstream.engine?.crash();
    for (const { ask, phase } of flights) {
      const { requestId } = ask;
      upstream.queue.step(
        phase === 'running'
          ? { type: 'released', requestId, outcome: 'broken', tokenCount: 0 }
          : { type: 'abandoned', requestId },
        this.options.agenda.nowMs,
      );
    }
    Object.assign(upstream, { alive: false, life: upstream.life + 1, running: 0, queued: 0 });
    Object.assign(upstream, { wakeAtMs: Infinity, engineDueAtMs: Infinity });
    upstream.flights.clear();
    this.options.memories().lose(upstream);
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
      this.options.learn(flight, 'refused', upstream.queue.load(this.options.agenda.nowMs));
      this.options.again(flight, 'model-absent');
      return;
    }
    flight.phase = 'queued';
    upstream.flights.set(ask.requestId, flight);
    upstream.queued += 1;
    this.tell(upstream, {
      type: 'offered',
      offer: {
        requestId: ask.requestId,
        customer: ask.customer,
        kind: ask.kind.name,
        model: ask.model,
        promptTokens: ask.promptTokens,
        maxTokens: 0,
        remainingMs: flight.deadlineAtMs - this.options.agenda.nowMs,
        resumed: flight.firstAtMs >= 0,
      },
    });
  }

  tell(upstream: SimUpstream, event: AdmissionEvent): void {
    for (const effect of upstream.queue.step(event, this.options.agenda.nowMs)) {
      this.act(upstream, effect);
    }
    this.watchEngine(upstream);
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
      this.turnAway(upstream, flight, effect.failure);
    } else this.preempt(upstream, flight);
  }

  private wake(upstream: SimUpstream, atMs: number): void {
    const { life } = upstream;
    upstream.wakeAtMs = atMs;
    this.options.agenda.at(atMs, () => {
      if (upstream.life !== life || upstream.wakeAtMs !== atMs) return;
      upstream.wakeAtMs = Infinity;
      this.tell(upstream, { type: 'ticked' });
    });
  }

  private start(upstream: SimUpstream, flight: Flight): void {
    const { ask } = flight;
    if (upstream.residents.get(ask.model)?.phase === 'loading') {
      this.turnBack(upstream, flight);
      return;
    }
    flight.phase = 'running';
    flight.startedAtMs = this.options.agenda.nowMs;
    flight.madeAtStart = flight.made;
    upstream.queued -= 1;
    upstream.running += 1;
    this.options.logs[upstream.index]!.started(this.options.agenda.nowMs, ask, flight.deadlineAtMs);
    if (flight.preemptions === 0) {
      this.options.tally.waited(flight, this.options.agenda.nowMs - ask.atMs);
    }
    const resident = upstream.residents.get(ask.model);
    if (resident) {
      resident.running += 1;
      resident.lastUsedAtMs = this.options.agenda.nowMs;
    }
    if (upstream.engine) upstream.engine.add(flight, this.options.agenda.nowMs);
    else this.serve(upstream, flight);
  }

  /** The queue started a request whose model is not there yet: nothing can run. */
  private turnBack(upstream: SimUpstream, flight: Flight): void {
    const { requestId } = flight.ask;
    upstream.flights.delete(requestId);
    upstream.queued -= 1;
    this.tell(upstream, { type: 'released', requestId, outcome: 'cancelled', tokenCount: 0 });
    this.options.learn(flight, 'refused', upstream.queue.load(this.options.agenda.nowMs));
    this.options.again(flight, 'model-absent');
  }

  private serve(upstream: SimUpstream, flight: Flight): void {
    const { life } = upstream;
    this.options.agenda.at(this.options.agenda.nowMs + flight.ask.serviceMs, () => {
      if (upstream.life === life) this.finish(upstream, flight);
    });
  }

  private turnAway(upstream: SimUpstream, flight: Flight, reason: string): void {
    upstream.flights.delete(flight.ask.requestId);
    upstream.queued -= 1;
    const { ask, deadlineAtMs } = flight;
    if (reason === 'deadline-unmeetable') {
      this.options.logs[upstream.index]!.refuse(
        this.options.agenda.nowMs,
        ask,
        deadlineAtMs,
        this.leastNeedMs(ask),
      );
    }
    this.options.learn(flight, 'refused', upstream.queue.load(this.options.agenda.nowMs));
    this.options.again(flight, reason);
  }

  private leastNeedMs(ask: Ask): number {
    if (!ask.model) return ask.serviceMs;
    const { curve } = this.options.run;
    return ask.promptTokens * curve.prefillTokenMs + stepMs(curve, 1);
  }

  private preempt(upstream: SimUpstream, flight: Flight): void {
    if (flight.phase !== 'running') return;
    upstream.engine?.remove(flight, this.options.agenda.nowMs);
    flight.preemptions += 1;
    this.options.tally.preemptions += 1;
    this.leave(upstream, flight);
    this.released(upstream, flight, 'preempted');
    this.offer(flight, upstream);
  }

  private leave(upstream: SimUpstream, flight: Flight): void {
    upstream.flights.delete(flight.ask.requestId);
    upstream.running -= 1;
    const resident = upstream.residents.get(flight.ask.model);
    if (!resident) return;
    resident.running -= 1;
    if (resident.phase === 'unloading' && resident.running === 0) {
      this.options.memories().removeResident(upstream, resident);
    }
  }

  private released(upstream: SimUpstream, flight: Flight, outcome: 'answered' | 'preempted'): void {
    this.pace(upstream);
    const tokenCount = flight.made - flight.madeAtStart;
    this.tell(upstream, { type: 'released', requestId: flight.ask.requestId, outcome, tokenCount });
    const { running, slots } = upstream.queue.load(this.options.agenda.nowMs);
    if (upstream.queued === 0 && running < slots) {
      this.options.logs[upstream.index]!.idle(this.options.agenda.nowMs);
    }
  }

  private pace(upstream: SimUpstream): void {
    if (!upstream.engine || this.options.agenda.nowMs - upstream.pacedAtMs < PACE_EVERY_MS) return;
    upstream.pacedAtMs = this.options.agenda.nowMs;
    this.tell(upstream, { type: 'paced', ...upstream.engine.takePace() });
  }

  private watchEngine(upstream: SimUpstream): void {
    const { engine, life } = upstream;
    if (!engine || engine.dueAtMs === upstream.engineDueAtMs) return;
    const atMs = engine.dueAtMs;
    upstream.engineDueAtMs = atMs;
    if (atMs === Infinity) return;
    this.options.agenda.at(atMs, () => {
      if (upstream.life !== life || upstream.engineDueAtMs !== atMs) return;
      upstream.engineDueAtMs = -1;
      engine.turn(this.options.agenda.nowMs);
      this.watchEngine(upstream);
    });
  }
}
