/** Forecast of the time to a first event at an upstream, and the choice among upstreams by it. */
export type { Candidate } from './candidate.js';
export { choosePlace } from './chooseplace.js';
export { enginePlaces } from './engineplaces.js';
export { forecast } from './forecast.js';
export type { Forecast } from './forecastresult.js';
export { upstreamForecastRules } from './upstreamforecastrules.js';
export type { UpstreamLoad } from './upstreamload.js';
