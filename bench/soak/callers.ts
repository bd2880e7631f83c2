import { Agent, request, type ClientRequest } from 'node:http';
import type { Call, CallKind } from './call.js';
import type { Dice } from './dice.js';
import { customers } from './customers.js';
import { pause } from './pause.js';
import { randomKey } from './randomkey.js';
import type { Program } from './program.js';

const DEADLINE_MS = 4000;
const PAUSE_MS = 40;
/** A caller without an answer gives up after this; by then the request counts as late. */
const GIVE_UP_MS = 2 * DEADLINE_MS;
const HOST = 'caller.example';
const MODELS = ['m1', 'm2', 'm1/a1', 'm1/a2', 'm2/a3', 'm3'];
const KINDS: readonly CallKind[] = ['lookup', 'charge', 'draft', 'batch', 'probe'];
const CHANGING_KINDS: readonly CallKind[] = [...KINDS, 'probe', 'moving', 'timed'];
/** Probes ask for the route of one of this many newest versions, where routes are withdrawn. */
const CHANGING_AGES = 8;
const GETS: ReadonlySet<CallKind> = new Set(['lookup', 'probe', 'moving', 'timed']);
const EVENTS = 5;
const FIRST_PARTS = 3;
const SECOND_PARTS = 30;
/** Requests that a caller sends for one stream at most. */
const MAX_TRIES = 4;
/** More than callers and the uneven load have in flight at an entry: a request that waits for a socket is late by itself. */
const MAX_SOCKETS = 512;
/** No expected answer is as long; the rest of an answer without end is not kept. */
const MAX_BODY = 65_536;
/** One in this many callers disconnects without waiting for its answer. */
const LEAVES = 8;
const LEAVE_AFTER_MS = 120;

/** What a request for a stream asks for. */
interface StreamChoice {
  readonly model?: string;
  readonly resumed?: Call['resumed'];
  readonly parts?: readonly string[];
  readonly load?: Call['load'];
  readonly held?: Call['held'];
}

/** Returns the number of whole events in an answer. */
function eventCount(body: string): number {
  return body.match(/^id: \d+\ndata: .*\n\n/gm)?.length ?? 0;
}

/** Callers that send requests over keep-alive connections to the entries. */
export class Callers {
  readonly calls: Call[] = [];

  /** The newest configuration version that was written. */
  version = 1;

  private isOver = false;

  private inFlight = 0;

  private readonly agents: Agent[];

  constructor(
    private readonly entries: readonly Program[],
    private readonly dice: Dice,
    /** True if customers are configured: callers then send keys, and a forged customer name. */
    private readonly isKeyed = false,
    /** True if callers take up streams that were cut, at any entry. */
    private readonly isResuming = false,
    /** True if prompts name their parts; no two requests for streams are alike then. */
    private readonly hasParts = false,
    /** True if configurations withdraw, move and change routes. */
    private readonly isChanging = false,
  ) {
    this.agents = entries.map(() => new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS }));
  }

  /** Starts the given number of callers, each with one request at a time. */
  start(count: number): void {
    for (let at = 0; at < count; at += 1) void this.repeat(at % this.entries.length);
  }

  /** Sends no more requests; resolves when every request has ended. */
  async stop(): Promise<void> {
    this.isOver = true;
    while (this.inFlight > 0) await pause(PAUSE_MS);
    for (const agent of this.agents) agent.destroy();
  }

  private async repeat(entry: number): Promise<void> {
    while (!this.isOver) {
      await this.ask(entry);
      await pause(this.dice.below(PAUSE_MS * 2));
    }
  }

  private ask(entry: number): Promise<void> {
    const kind = this.dice.pick(this.isChanging ? CHANGING_KINDS : KINDS);
    const age = this.dice.below(this.isChanging ? CHANGING_AGES : 2);
    const version = Math.max(1, this.version - age);
    const path = kind === 'probe' ? `/probe-${version}/` : `/${kind}/1`;
    const isResumed = kind === 'batch' && this.isResuming;
    return isResumed ? this.sendStream(entry, version) : this.sendCall(entry, kind, path, version);
  }

  /** Sends a request for a stream, and others for the rest of it while it is cut. */
  private async sendStream(entry: number, version: number): Promise<void> {
    const model = this.dice.pick(MODELS);
    const first = `c${this.calls.length}`;
    const firstCall = this.calls.length;
    await this.sendCall(entry, 'batch', '/batch/1', version, { model });
    let last = this.calls[firstCall]!;
    for (let tries = 1; tries < MAX_TRIES && !this.isOver; tries += 1) {
      const lastEvent = (last.resumed?.lastEvent ?? 0) + eventCount(last.body);
      const isBegun = lastEvent > 0;
      if (!isBegun || lastEvent >= EVENTS) return;
      await pause(this.dice.below(PAUSE_MS));
      const at = this.calls.length;
      const next = this.dice.below(this.entries.length);
      const resumed = { first, lastEvent };
      await this.sendCall(next, 'batch', '/batch/1', version, { model, resumed });
      last = this.calls[at]!;
    }
  }

  /** Sends a request with parts of which one crashes each server that begins an answer. */
  sendDeadly(path: string, entry: number, parts: readonly string[]): Promise<void> {
    return this.sendCall(entry, 'deadly', path, this.version, { parts });
  }

  /** Sends a request of the uneven load, whose caller does not leave. */
  sendLoad(kind: CallKind, load: NonNullable<Call['load']>, held: Call['held']): Promise<void> {
    const entry = this.dice.below(this.entries.length);
    const { priority, model } = load;
    const choice = { model, load, held };
    return this.sendCall(entry, kind, `/${kind}-${priority}/1`, this.version, choice);
  }

  /** Returns the parts with which a sound prompt begins. */
  private soundParts(kind: CallKind): readonly string[] {
    const isStream = kind === 'draft' || kind === 'batch';
    if (!this.hasParts || !isStream) return [];
    return [`f${this.dice.below(FIRST_PARTS)}`, `b${this.dice.below(SECOND_PARTS)}`];
  }

  /** Sends a poison request: one that ends each server that runs it. */
  sendPoison(path: string, entry: number): Promise<void> {
    return this.sendCall(entry, 'crash', path, this.version);
  }

  private sendCall(
    entry: number,
    kind: CallKind,
    path: string,
    version: number,
    { model, resumed, parts = this.soundParts(kind), load, held }: StreamChoice = {},
  ): Promise<void> {
    const call: Call = {
      id: `c${this.calls.length}`,
      kind,
      entry,
      startCount: this.entries[entry]!.startCount,
      sentAtMs: performance.now(),
      version,
      resumed,
      parts,
      load,
      held: held ?? (this.isKeyed ? randomKey(this.version, this.dice) : undefined),
      status: undefined,
      signature: undefined,
      echoedId: undefined,
      retryAfter: undefined,
      hasServerLimit: false,
      hasServerLeaving: false,
      body: '',
      isWhole: false,
      endedAtMs: undefined,
      leftAtMs: undefined,
      error: undefined,
    };
    this.calls.push(call);
    this.inFlight += 1;
    return new Promise((resolve) => {
      const end = (error?: string) => {
        if (call.endedAtMs !== undefined) return;
        call.endedAtMs = performance.now();
        call.error = error;
        this.inFlight -= 1;
        resolve();
      };
      const sent = this.send(call, path, model, end);
      setTimeout(() => {
        sent.destroy();
        end('caller gave up');
      }, GIVE_UP_MS).unref();
      const stays = kind === 'crash' || kind === 'deadly' || load !== undefined;
      if (stays || this.dice.below(LEAVES) !== 0) return;
      setTimeout(() => {
        if (call.endedAtMs !== undefined) return;
        call.leftAtMs = performance.now();
        sent.destroy();
        end('left');
      }, LEAVE_AFTER_MS);
    });
  }

  private send(
    call: Call,
    path: string,
    model: string | undefined,
    end: (error?: string) => void,
  ): ClientRequest {
    const { kind } = call;
    const isStream = kind === 'draft' || kind === 'batch';
    const headers: Record<string, string> = {
      Host: HOST,
      'Tarragonstile-Request-Id': call.id,
      'Tarragonstile-Deadline-Ms': String(DEADLINE_MS),
    };
    if (call.held) {
      headers['Tarragonstile-Tenant'] = 'forged';
      headers['Tarragonstile-Token-Usage'] = `${customers.cost - 1},1`;
      if (call.held.key !== undefined) headers.Authorization = `Bearer ${call.held.key}`;
    }
    if (isStream) headers['Tarragonstile-Model'] = model ?? this.dice.pick(MODELS);
    if (call.resumed) {
      headers['Last-Event-Id'] = String(call.resumed.lastEvent);
      headers.Resumes = call.resumed.first;
    }
    if (kind === 'crash' || kind === 'deadly') headers['Tarragonstile-Model'] = MODELS[0]!;
    if (call.parts.length > 0) {
      // Ids of calls are hexadecimal numbers, as those of parts have to be.
      const all = [...call.parts, call.id].map((part) => `${part}:9`);
      headers['Tarragonstile-Prompt-Prefix'] = all.join(',');
    }
    const method = GETS.has(kind) ? 'GET' : 'POST';
    const agent = this.agents[call.entry];
    const ownPath = call.parts.length > 0 ? `${path}/${call.id}` : path;
    const { port } = this.entries[call.entry]!;
    const target = { host: '127.0.0.1', port, method, path: ownPath, headers, agent };
    const sent = request(target, (answer) => {
      const seen = call;
      seen.status = answer.statusCode;
      seen.signature = answer.headers['tarragonstile-response-signature'] as string | undefined;
      seen.echoedId = answer.headers['tarragonstile-request-id'] as string | undefined;
      seen.retryAfter = answer.headers['retry-after'];
      seen.hasServerLimit = answer.headers['server-limit'] !== undefined;
      seen.hasServerLeaving = answer.headers['server-leaving'] === '1';
      answer.on('data', (chunk: Buffer) => {
        if (seen.body.length < MAX_BODY) seen.body += chunk.toString('utf8');
      });
      answer.on('end', () => {
        seen.isWhole = answer.complete;
        end();
      });
      answer.on('error', (error) => end(error.message));
      answer.on('close', () => end('closed'));
    });
    sent.on('error', (error) => end(error.message));
    sent.end();
    return sent;
  }
}
