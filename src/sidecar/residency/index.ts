/** Models in the memory of this sidecar's engine: the shell around `src/core/residency` and `src/core/drain`. */
export { EngineResidency } from './engineresidency.js';
export { publishPlain } from './publishplain.js';
