import type { configurationOf } from '../../standin/platform/index.js';

type Routes = Parameters<typeof configurationOf>[2];

const LONG_TIMEOUT_MS = 4000;
/** Servers of the service `other` take longer than this. */
const SHORT_TIMEOUT_MS = 250;

function serviceOf(version: number): string {
  return version % 2 === 0 ? 'plain' : 'other';
}

function timeoutMsOf(version: number): number {
  return Math.floor(version / 2) % 2 === 0 ? LONG_TIMEOUT_MS : SHORT_TIMEOUT_MS;
}

/** Routes that each configuration version changes: one moves between two services, one has another time-out. */
export const changingRoutes = {
  serviceOf,
  isShort: (version: number): boolean => timeoutMsOf(version) === SHORT_TIMEOUT_MS,
  of: (version: number): Routes => [
    { name: 'moving', kind: 'idempotent', service: serviceOf(version) },
    { name: 'timed', kind: 'idempotent', service: 'other', timeoutMs: timeoutMsOf(version) },
  ],
};
