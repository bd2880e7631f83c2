/** What upstreams say of themselves in their answers: a limit of requests, that they leave, that they want a pause. */
export { freshStanding } from './freshstanding.js';
export { onSelfReport } from './onselfreport.js';
export type { Standing } from './standing.js';
