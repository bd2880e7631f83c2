import type { Bench } from './bench.js';

/** Every benchmark by its name: `npm run bench -- NAME`. */
export const table: Readonly<Record<string, () => Promise<Bench>>> = {
  'planner-cost': async () => (await import('./plannercost.js')).plannerCost,
  'kill-rounds': async () => (await import('./killrounds.js')).killRounds,
  forecast: async () => (await import('./forecastbench.js')).forecastBench,
  'once-check': async () => (await import('./oncecheck.js')).onceCheck,
  'once-cost': async () => (await import('./oncecost.js')).onceCost,
  'once-mutations': async () => (await import('./oncemutations.js')).onceMutations,
  'config-race': async () => (await import('./configrace.js')).configRace,
  'config-faults': async () => (await import('./configfaults.js')).configFaults,
  'ledger-cost': async () => (await import('./ledgercost.js')).ledgerCost,
  'memory-rounds': async () => (await import('./memoryrounds.js')).memoryRounds,
  'ledger-check': async () => (await import('./ledgercheck.js')).ledgerCheck,
  'mesh-check': async () => (await import('./meshcheck.js')).meshCheck,
  'mesh-cost': async () => (await import('./meshcost.js')).meshCost,
  'mesh-fanout': async () => (await import('./meshfanout.js')).meshFanout,
  'mesh-spread': async () => (await import('./meshspread.js')).meshSpread,
  'mesh-store-calls': async () => (await import('./meshstorecalls.js')).meshStoreCalls,
  policy: async () => (await import('./policy.js')).policy,
  'admission-cost': async () => (await import('./admissioncost.js')).admissionCost,
  'config-cost': async () => (await import('./configcost.js')).configCost,
  'path-link': async () => (await import('./pathlink.js')).pathLink,
  'path-throughput': async () => (await import('./paththroughput.js')).pathThroughput,
  'path-latency': async () => (await import('./pathlatency.js')).pathLatency,
  'path-idle': async () => (await import('./pathidle.js')).pathIdle,
  'placement-study': async () => (await import('./placement/study.js')).placementStudy,
};
