/** Pacing of prompts: spreads the prefills at an engine so that they do not stall the streams running there. */
export { calmTime } from './calmtime.js';
export { isPrefilling } from './isprefilling.js';
export { promptPaceRules } from './promptpacerules.js';
