import type { Transition } from '../../src/base/index.js';
import { completeOrder } from './completeorder.js';
import type { EngineEffect } from './engineeffect.js';
import type { EngineEvent } from './engineevent.js';
import type { EngineOptions } from './engineoptions.js';
import type { EngineRequest, EngineState } from './enginestate.js';
import { isOvercommitted } from './isovercommitted.js';
import { restart } from './restart.js';
import { runSteps } from './runsteps.js';
import { acceptOrder } from './acceptorder.js';

type EngineChange = Transition<EngineState, EngineEffect>;
type Handlers = {
  readonly [Type in EngineEvent['type']]: (
    state: EngineState,
    event: Extract<EngineEvent, { type: Type }>,
    options: EngineOptions,
  ) => EngineChange;
};

/** Number of known requests above which the oldest kept and finished ones are deleted. */
const KEPT_ANSWERS = 2000;

function isReady(state: EngineState, name: string, options: EngineOptions): boolean {
  if (options.memoryBytes === undefined) return true;
  return state.residents.some(
    ({ model, phase, adapters }) =>
      phase === 'ready' &&
      (model === name ||
        adapters.some((adapter) => adapter.id === name && adapter.phase === 'ready')),
  );
}

function withRequest(state: EngineState, request: EngineRequest): EngineState {
  const requests = new Map(state.requests).set(request.key, request);
  for (const [key, { phase }] of requests) {
    if (requests.size <= KEPT_ANSWERS) break;
    if (phase === 'kept' || phase === 'finished') requests.delete(key);
  }
  return { ...state, requests };
}

/** Adds a request. If its KV cache was imported, only the tokens beyond that cache are prefilled. */
function useImported(state: EngineState, request: EngineRequest): EngineState {
  const imported = [...state.requests.values()].findLast(
    ({ requestId, model, imported: isImported, blocks }) =>
      isImported &&
      requestId === request.requestId &&
      model === request.model &&
      blocks.every((block, index) => block === request.blocks[index]),
  );
  if (!imported) return withRequest(state, request);
  const importedTokens = imported.promptTokens + imported.made;
  return withRequest(state, { ...request, importedTokens });
}

function setPhase(state: EngineState, key: number, phase: EngineRequest['phase']): EngineChange {
  const request = state.requests.get(key);
  if (!request || request.phase === 'finished') return { state, effects: [] };
  return { state: withRequest(state, { ...request, phase }), effects: [] };
}

const HANDLERS: Handlers = {
  ask: (state, { request }, options) => {
    if (!isReady(state, request.model, options)) {
      const reason = 'model-not-loaded';
      return { state, effects: [{ type: 'refused', key: request.key, reason }] };
    }
    if (request.tokens > 0) return { state: useImported(state, request), effects: [] };
    const finished = { ...request, phase: 'finished' as const };
    return {
      state: withRequest(state, finished),
      effects: [{ type: 'finished', key: request.key }],
    };
  },
  resume: (state, { key }) => setPhase(state, key, 'waiting'),
  gone: (state, { key }) => setPhase(state, key, 'kept'),
  cancel: (state, { requestId }) => {
    const requests = new Map(state.requests);
    const effects: EngineEffect[] = [];
    for (const request of state.requests.values()) {
      if (request.requestId !== requestId) continue;
      requests.delete(request.key);
      if (request.phase !== 'finished') effects.push({ type: 'cut', key: request.key });
    }
    return { state: { ...state, requests }, effects };
  },
  import: (state, { request }) => ({ state: withRequest(state, request), effects: [] }),
  order: (state, { order }, options) => acceptOrder(state, order, options),
  loaded: (state, { order }) => completeOrder(state, order),
  changed: (state, { order }) => completeOrder(state, order),
  tick: (state) => ({ state, effects: [] }),
  crash: (state) => restart(state),
};

function handleOvercommit(state: EngineState, options: EngineOptions): EngineChange {
  const counts = { ...state.counts, overcommits: state.counts.overcommits + 1 };
  const lost = restart({ ...state, counts });
  const detail = `The accelerator memory of ${options.memoryBytes} bytes is exceeded; the engine restarts.`;
  return {
    state: lost.state,
    effects: [...lost.effects, { type: 'overcommitted', detail }],
  };
}

/**
 * The stand-in engine's core: takes an event and returns the next state and the effects for the shell to carry out.
 * As in a real engine, exceeding the memory crashes the engine, which is counted.
 */
export function stepEngine(
  state: EngineState,
  event: EngineEvent,
  nowMs: number,
  options: EngineOptions,
): EngineChange {
  const due = runSteps(state, options, nowMs);
  const handle = HANDLERS[event.type] as (
    state: EngineState,
    event: EngineEvent,
    options: EngineOptions,
  ) => EngineChange;
  const handled = handle(due.state, event, options);
  const checked = isOvercommitted(handled.state, options)
    ? handleOvercommit(handled.state, options)
    : { state: handled.state, effects: [] };
  const begun = runSteps(checked.state, options, nowMs);
  return {
    state: begun.state,
    effects: [...due.effects, ...handled.effects, ...checked.effects, ...begun.effects],
  };
}
