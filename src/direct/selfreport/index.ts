/** What upstreams say of themselves in their answers, as entries keep it and tell each other. */
export { Standings } from './standings.js';
