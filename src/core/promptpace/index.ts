/** Pacing of prompts: spreads the prefills at an engine so that they do not stall the streams running there. */
export { unloadedTimeMs } from './unloadedtimems.js';
export { isPrefilling } from './isprefilling.js';
export { promptPaceRules } from './promptpacerules.js';
