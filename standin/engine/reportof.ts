import type { EngineReport } from '../../src/port/index.js';
import type { EngineOptions } from './engineoptions.js';
import type { EngineState } from './enginestate.js';
import { usedBytes } from './usedbytes.js';

const REPORTED_ORDERS = 200;

/** Builds the report of an engine in this state. */
export function reportOf(
  state: EngineState,
  options: EngineOptions,
  identity: Pick<EngineReport, 'engineId' | 'sequence' | 'ageMs' | 'leaving'>,
): EngineReport {
  const phases = [...state.requests.values()].map(({ phase }) => phase);
  const { weightBytes, kvBytes } = usedBytes(state, options);
  const residents = state.residents.map(({ adapters, ...resident }) => ({
    ...resident,
    adapters: adapters
      .filter(({ phase }) => phase === 'ready')
      .map(({ id, sizeBytes }) => ({ id, sizeBytes })),
  }));
  return {
    ...identity,
    engineId: `${identity.engineId}.${state.restarts}`,
    settledOrderIds: state.settledOrderIds.slice(-REPORTED_ORDERS),
    highestFencingToken: state.highestFencingToken as EngineReport['highestFencingToken'],
    usedBytes: weightBytes + kvBytes,
    memoryBytes: options.memoryBytes ?? 0,
    residents: residents as unknown as EngineReport['residents'],
    running: phases.filter((phase) => phase === 'running').length,
    queued: phases.filter((phase) => phase === 'waiting').length,
    role: state.role,
  };
}
