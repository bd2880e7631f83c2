import type { Transition } from '../../src/base/index.js';
import type { EngineEffect } from './engineeffect.js';
import type { EngineOptions } from './engineoptions.js';
import type { EngineRequest, EngineState } from './enginestate.js';
import { foldText } from './foldtext.js';
import { nextToken } from './nexttoken.js';
import { stepMs } from './stepms.js';
import { useCache } from './usecache.js';
import { usedBytes } from './usedbytes.js';

const TOKENS_PER_BLOCK = 16;

function nextWaiting(requests: ReadonlyMap<number, EngineRequest>): EngineRequest | undefined {
  let best: EngineRequest | undefined;
  for (const request of requests.values()) {
    if (request.phase !== 'waiting') continue;
    if (!best || request.priority > best.priority) best = request;
  }
  return best;
}

/** Returns true if the KV cache of one more request fits into the remaining memory. */
function fits(state: EngineState, options: EngineOptions, request: EngineRequest): boolean {
  if (options.memoryBytes === undefined) return true;
  const { weightBytes, kvBytes } = usedBytes(state, options);
  const requiredBytes = (request.promptTokens + request.tokens) * options.kvCacheBytesPerToken;
  if (options.kvCacheBytes > 0) return kvBytes + requiredBytes <= options.kvCacheBytes;
  return weightBytes + kvBytes + requiredBytes <= options.memoryBytes;
}

/** Fills the batch from the waiting requests and starts a step if any request runs. */
function beginStep(
  state: EngineState,
  options: EngineOptions,
  nowMs: number,
): Transition<EngineState, EngineEffect> {
  const requests = new Map(state.requests);
  const effects: EngineEffect[] = [];
  let { cache } = state;
  let running = [...requests.values()].filter(({ phase }) => phase === 'running').length;
  let prefillTokens = 0;
  for (let next = nextWaiting(requests); next; next = nextWaiting(requests)) {
    if (running >= options.maxRunning || !fits({ ...state, requests }, options, next)) break;
    const { hits, cache: updated } = useCache(cache, next.blocks, options.cacheBlocks);
    cache = updated;
    running += 1;
    const cached = Math.max(hits * TOKENS_PER_BLOCK, next.importedTokens ?? 0);
    if (!next.imported) prefillTokens += Math.max(0, next.promptTokens - cached);
    if (next.made === 0) effects.push({ type: 'began', requestId: next.requestId });
    requests.set(next.key, { ...next, phase: 'running', imported: false });
  }
  if (running === 0) return { state: { ...state, stepEndsAtMs: undefined }, effects };
  const tookMs = stepMs(options.curve, running) + prefillTokens * options.curve.prefillTokenMs;
  const counts = {
    ...state.counts,
    busyMs: state.counts.busyMs + tookMs,
    prefillTokens: state.counts.prefillTokens + prefillTokens,
  };
  return {
    state: { ...state, requests, cache, counts, stepEndsAtMs: nowMs + tookMs },
    effects,
  };
}

/** Ends the current step: each running request gains one token. */
function endStep(state: EngineState): Transition<EngineState, EngineEffect> {
  const requests = new Map(state.requests);
  const effects: EngineEffect[] = [];
  for (const request of state.requests.values()) {
    if (request.phase !== 'running') continue;
    const text = nextToken(request.textHash);
    const made = request.made + 1;
    const phase = made >= request.tokens ? 'finished' : 'running';
    const textHash = foldText(text, request.textHash);
    requests.set(request.key, { ...request, made, phase, textHash });
    effects.push({ type: 'token', key: request.key, index: request.made, text });
    if (phase === 'finished') effects.push({ type: 'finished', key: request.key });
  }
  const tokens = state.counts.tokens + effects.length;
  return {
    state: { ...state, requests, counts: { ...state.counts, tokens }, stepEndsAtMs: undefined },
    effects,
  };
}

/** Runs every step that is due by `nowMs` and starts the next one. */
export function runSteps(
  start: EngineState,
  options: EngineOptions,
  nowMs: number,
): Transition<EngineState, EngineEffect> {
  let state = start;
  const effects: EngineEffect[] = [];
  for (;;) {
    const endedAtMs = state.stepEndsAtMs;
    if (endedAtMs !== undefined && endedAtMs > nowMs) break;
    if (endedAtMs !== undefined) {
      const ended = endStep(state);
      state = ended.state;
      effects.push(...ended.effects);
    }
    const begun = beginStep(state, options, endedAtMs ?? nowMs);
    state = begun.state;
    effects.push(...begun.effects);
    if (state.stepEndsAtMs === undefined) break;
  }
  return { state, effects };
}
